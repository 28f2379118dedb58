"""Runs with planned work alone, in which no answer may be cut off: their faults and options."""

from argparse import ArgumentParser, Namespace

from standins.replica_conduct import Conduct
from standins.stream_replica import Framing

# Faults of the soak of streams.
PLANNED_FAULTS = (
    "router_stop",
    "router_stops_in_series",
    "router_stop_signals",
    "router_reloads",
    "config_change",
)
# Kinds of faults of a site's days.
PLANNED_KINDS = ("roll_term", "hup", "config_change", "config_storm")


def is_planned(kinds: tuple[str, ...]) -> bool:
    """Return whether the kinds chosen for a day of a site are planned work alone."""
    return bool(kinds) and set(kinds) <= set(PLANNED_KINDS)


def add_arguments(parser: ArgumentParser) -> None:
    """Add the options of the soak of streams for planned work."""
    parser.add_argument(
        "--planned",
        action="store_true",
        help="planned work alone at sound replicas: no answer that ran may be cut off",
    )
    add_silences(parser)
    parser.add_argument(
        "--framings",
        default=",".join(framing.value for framing in Framing),
        help="framings of the streams, with commas (default: %(default)s)",
    )


def add_silences(parser: ArgumentParser) -> None:
    """Add the option of silent replicas."""
    parser.add_argument(
        "--silences",
        action="store_true",
        help="beside planned work alone, sound replicas fall silent for 1.0 to 1.3 s",
    )


def choose_conduct(arguments: Namespace, *, planned: bool) -> Conduct:
    """Return the conduct of the replicas; silences need planned work alone."""
    if not planned:
        if arguments.silences:
            raise ValueError("--silences needs planned work alone")
        return Conduct.FAULTY
    return Conduct.SILENT if arguments.silences else Conduct.STEADY


def choose_faults(names: tuple[str, ...], *, planned: bool) -> tuple[str, ...]:
    """Return the names of the only faults; beside planned work no other may be named."""
    if planned and set(names) - set(PLANNED_FAULTS):
        raise ValueError("--planned plays planned work alone")
    return names or PLANNED_FAULTS if planned else names
