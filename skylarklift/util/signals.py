"""The signals of a daemon's process, received from its first statement to its end.

The daemons import this module before all others.  Until it has blocked the signals, each of them
ends the process, so it imports little.
"""

import os
import signal
from _thread import allocate_lock
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress

STOP_SIGNALS = frozenset((signal.SIGTERM, signal.SIGINT))
RECEIVED_SIGNALS = STOP_SIGNALS | {signal.SIGHUP}
CHECK_OPTION = "--check"


class ProcessSignals:
    """Receives SIGTERM, SIGINT and SIGHUP, none of which has its default action any more.

    Before `deliver`, a stop signal ends the process with exit code 0, since nothing is served
    yet, and SIGHUP is kept; after it, all are dropped.  A thread waits for the signals, as
    handlers would be interrupted by further ones without a bound, and would end with the
    interpreter.
    """

    def __init__(self, log_descriptor: int):
        self.log_descriptor = log_descriptor
        self.stop_cause = ""
        # An ordered set, since several signals of one number count as one until it is taken.
        self._received: dict[signal.Signals, None] = {}
        self._wake: Callable[[], None] | None = None
        # Held by the thread that ends the process, so that the process does not begin to serve.
        self._wake_lock = allocate_lock()

    def start(self) -> None:
        """Block the signals in this and all later threads, and wait for them in one of these."""
        signal.pthread_sigmask(signal.SIG_BLOCK, RECEIVED_SIGNALS)
        # Only now, as its import takes time.
        from threading import Thread

        Thread(target=self._receive_all, name="signals", daemon=True).start()

    @contextmanager
    def deliver(self, wake: Callable[[], None]) -> Iterator[None]:
        """Call `wake` from another thread for each signal that `take` will return."""
        with self._wake_lock:
            self._wake = wake
        try:
            yield
        finally:
            self.drop()

    def drop(self) -> None:
        """Drop all further signals, as the exit code of the daemon is known."""
        self._wake = _do_nothing

    def take(self) -> signal.Signals | None:
        """Return the signal that was received first and has not been taken yet."""
        for number in list(self._received):
            del self._received[number]
            return number
        return None

    def _receive_all(self) -> None:
        """Receive signals until the process ends."""
        while True:
            self._receive(signal.Signals(signal.sigwait(RECEIVED_SIGNALS)))

    def _receive(self, number: signal.Signals) -> None:
        """Keep a signal for `take`, or end the process."""
        if number in STOP_SIGNALS:
            self.stop_cause = self.stop_cause or number.name
            with self._wake_lock:
                if self._wake is None:
                    self._end_process(number.name)
        self._received[number] = None
        if self._wake is not None:
            self._wake()

    def _end_process(self, name: str) -> None:
        """Log the exit and end the process, without waiting for imports or reads in progress."""
        line = f'{{"event":"exit","code":{os.EX_OK},"cause":"{name} before serving"}}\n'
        with suppress(OSError):
            os.write(self.log_descriptor, line.encode())
        os._exit(os.EX_OK)


def receive_signals(arguments: list[str], log_descriptor: int) -> ProcessSignals:
    """Return the signals of a daemon that was started with these command line arguments.

    A check of the settings keeps the default actions: ended early, it must not seem passed.
    """
    signals = ProcessSignals(log_descriptor)
    if CHECK_OPTION not in arguments:
        signals.start()
    return signals


def _do_nothing() -> None:
    """Wake nobody."""
