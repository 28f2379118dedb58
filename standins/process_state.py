"""What a process does at the moment, as the kernel tells it, and signals sent to it in series."""

import signal
import subprocess
import time
from dataclasses import dataclass
from pathlib import Path

POLL_S = 0.002
LIBRARY_TIMEOUT_S = 20
SIGNAL_GAP_S = 0.02
# No router blocks it but with all others, for the moment in which a process or thread is started.
BLOCKED_BRIEFLY = signal.SIGQUIT
ALL_BLOCKED_TIMEOUT_S = 2.0


def receives_signal(pid: int, number: int) -> bool:
    """Return whether a signal does not have its default action in a process for good."""
    end = time.monotonic() + ALL_BLOCKED_TIMEOUT_S
    while (masks := _signal_masks(pid)).blocks(BLOCKED_BRIEFLY) and time.monotonic() < end:
        time.sleep(POLL_S)
    return masks.blocks(number) or masks.catches(number)


@dataclass(frozen=True)
class SignalMasks:
    """The signals that the first thread of a process blocks, and those with a handler, as bits."""

    blocked: int = 0
    caught: int = 0

    def blocks(self, number: int) -> bool:
        """Return whether a signal is blocked."""
        return bool(self.blocked >> (number - 1) & 1)

    def catches(self, number: int) -> bool:
        """Return whether a signal has a handler."""
        return bool(self.caught >> (number - 1) & 1)


def _signal_masks(pid: int) -> SignalMasks:
    """Return the masks of a process, empty ones if it has ended."""
    lines = _read(pid, "status").splitlines()
    fields = dict(line.split(":", 1) for line in lines if line.startswith(("SigBlk", "SigCgt")))
    return SignalMasks(int(fields.get("SigBlk", "0"), 16), int(fields.get("SigCgt", "0"), 16))


def resident_bytes(pid: int) -> int:
    """Return the memory in use by a process, 0 if it has ended."""
    lines = _read(pid, "status").splitlines()
    return next((int(line.split()[1]) * 1024 for line in lines if line.startswith("VmRSS")), 0)


def has_loaded(pid: int, library: str) -> bool:
    """Return whether a process has loaded a library with this part of a name."""
    return library in _read(pid, "maps")


def wait_until_loaded(process: subprocess.Popen, library: str) -> None:
    """Wait until a process has loaded a library."""
    end = time.monotonic() + LIBRARY_TIMEOUT_S
    while not has_loaded(process.pid, library):
        assert process.poll() is None, f"ended with exit code {process.poll()}"
        assert time.monotonic() < end, f"has not loaded {library}"
        time.sleep(POLL_S)


def send_series(process: subprocess.Popen, names: str) -> None:
    """Send the named signals to a process one after another, as long as it runs."""
    for name in names.split():
        if process.poll() is None:
            process.send_signal(signal.Signals[name])
        time.sleep(SIGNAL_GAP_S)


def _read(pid: int, name: str) -> str:
    """Return a file about a process, empty if the process has ended."""
    try:
        return Path(f"/proc/{pid}/{name}").read_text()
    except OSError:
        return ""
