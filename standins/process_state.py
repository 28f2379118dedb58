"""What a process does at the moment, as the kernel tells it, and signals sent to it in series."""

import signal
import subprocess
import time
from pathlib import Path

POLL_S = 0.002
LIBRARY_TIMEOUT_S = 20
SIGNAL_GAP_S = 0.02


def receives_signal(pid: int, number: int) -> bool:
    """Return whether a signal does not have its default action in a process."""
    masks = (_signal_mask(pid, name) for name in ("SigBlk", "SigCgt"))
    return any(mask >> (number - 1) & 1 for mask in masks)


def _signal_mask(pid: int, name: str) -> int:
    """Return a set of signals of a process, 0 if it has ended."""
    lines = _read(pid, "status").splitlines()
    return next((int(line.split()[1], 16) for line in lines if line.startswith(name)), 0)


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
