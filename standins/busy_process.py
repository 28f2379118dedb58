"""A process that uses one core until it is killed; usage: python -m standins.busy_process."""


def main() -> None:
    """Compute until the process is killed."""
    while True:
        sum(range(1000))


if __name__ == "__main__":
    main()
