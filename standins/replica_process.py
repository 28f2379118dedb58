"""A replica as a process of its own, which a signal can suspend and resume.

Usage: python -m standins.replica_process NAME LISTENER LOG EVENTS PACE_MS

It accepts connections on the descriptor LISTENER and writes the id of each request that it runs
as a line to the file LOG.
"""

import os
import sys

import trio

from standins.replica import Replica, Run


class RunLog(list[Run]):
    """The runs of a replica, each of which is also written to a file as it begins."""

    def __init__(self, path: str):
        super().__init__()
        self._file = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT)

    def append(self, run: Run) -> None:
        """Add a run and write the id of its request."""
        super().append(run)
        os.write(self._file, run.request_id.encode() + b"\n")


async def serve(replica: Replica, descriptor: int) -> None:
    """Serve until the process is ended."""
    listener = trio.SocketListener(trio.socket.fromfd(descriptor, trio.socket.AF_INET, 1))

    async def serve_connection(stream: trio.SocketStream) -> None:
        try:
            await replica.serve(stream)
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            # The router closed the connection.
            stream.socket.close()

    await trio.serve_listeners(serve_connection, [listener])


def main() -> None:
    """Serve until the process is ended."""
    name, descriptor, log, events, pace_ms = sys.argv[1:]
    replica = Replica(name, events=int(events), pace_ms=int(pace_ms), runs=RunLog(log))
    trio.run(serve, replica, int(descriptor))


if __name__ == "__main__":
    main()
