"""Run a daemon from its settings: deliver its signals, map failures to exit codes, log its exit."""

import json
import os
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import suppress
from dataclasses import asdict, dataclass
from typing import Generic, TypeVar

import trio

from skylarklift.clock import LoopClock, Millis
from skylarklift.errors import SettingsError, leaf_errors, raise_location
from skylarklift.util.settings_reload import load_at_start
from skylarklift.util.signals import ProcessSignals

EXIT_OK = 0
EXIT_SETTINGS = 2
EXIT_SYSTEM = 3
EXIT_FAULT = 4

SettingsT = TypeVar("SettingsT")


class SignalReceiver:
    """Async iterator over the signals that a process receives."""

    def __init__(self, signals: ProcessSignals):
        self._signals = signals
        self._token = trio.lowlevel.current_trio_token()
        self._arrived = trio.Event()

    def wake(self) -> None:
        """Continue the iteration; called from another thread, perhaps after the loop's end."""
        with suppress(trio.RunFinishedError):
            self._token.run_sync_soon(self._set_arrived, idempotent=True)

    def _set_arrived(self) -> None:
        """Wake the task that waits for a signal."""
        self._arrived.set()

    def __aiter__(self) -> "SignalReceiver":
        return self

    async def __anext__(self) -> int:
        while (number := self._signals.take()) is None:
            self._arrived = trio.Event()
            await self._arrived.wait()
        return number


@dataclass(frozen=True)
class Daemon(Generic[SettingsT]):
    """What one daemon does: how it reads its settings, names itself in its log, and runs."""

    name: str
    path: str
    load: Callable[[], SettingsT]
    node_of: Callable[[SettingsT], str]
    run: Callable[[SettingsT, AsyncIterator[int]], Awaitable[None]]


@dataclass(frozen=True)
class Exit:
    """The exit code of a daemon and its cause, as they are logged."""

    code: int
    cause: str
    trace: str = ""
    # Time of the daemon's loop, if it ran.
    ms: Millis | None = None


def run_daemon(daemon: Daemon[SettingsT], signals: ProcessSignals, *, check: bool) -> int:
    """Load the settings and run a daemon, or only validate them; return the exit code."""
    try:
        settings = daemon.load() if check else load_at_start(daemon.path, daemon.load)
    except SettingsError as exc:
        signals.drop()
        findings = [str(finding) for finding in exc.findings]
        for finding in findings:
            _print_error(finding)
        if not check:
            ended = Exit(EXIT_SETTINGS, "; ".join(findings))
            _log_exit(daemon.name, ended, signals.log_descriptor)
        return EXIT_SETTINGS
    if check:
        print(f"{daemon.path}: valid")
        return EXIT_OK
    ended = trio.run(_run_to_end, daemon, settings, signals)
    if ended.code == EXIT_SYSTEM:
        _print_error(f"{daemon.name}: {ended.cause}")
    _log_exit(daemon.node_of(settings), ended, signals.log_descriptor)
    return ended.code


async def _run_to_end(
    daemon: Daemon[SettingsT], settings: SettingsT, signals: ProcessSignals
) -> Exit:
    """Run a daemon and return how it ended."""
    receiver = SignalReceiver(signals)
    with signals.deliver(receiver.wake):
        try:
            await daemon.run(settings, receiver)
        except Exception as exc:
            return _failed(exc)
        return Exit(EXIT_OK, signals.stop_cause, ms=LoopClock().now())


def _failed(exc: Exception) -> Exit:
    """Return the exit for an exception that ended the daemon."""
    leaves = leaf_errors(exc) if isinstance(exc, ExceptionGroup) else [exc]
    faults = [leaf for leaf in leaves if not isinstance(leaf, OSError)]
    code = EXIT_FAULT if faults else EXIT_SYSTEM
    cause = "; ".join(f"{type(leaf).__name__}: {leaf}" for leaf in faults or leaves)
    return Exit(code, cause, raise_location((faults or leaves)[0]), LoopClock().now())


def _log_exit(node: str, ended: Exit, descriptor: int) -> None:
    """Log an exit as one line."""
    fields = {name: value for name, value in asdict(ended).items() if value not in ("", None)}
    line = json.dumps({"node": node, "event": "exit", **fields}, separators=(",", ":"))
    # The reader of the log may have gone; the exit code stays the same.
    with suppress(OSError):
        os.write(descriptor, line.encode() + b"\n")


def _print_error(text: str) -> None:
    """Print a line on standard error, unless its reader has gone."""
    with suppress(OSError):
        print(text, file=sys.stderr, flush=True)
