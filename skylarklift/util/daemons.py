"""Run a daemon from its settings: report findings, map failures to exit codes."""

import sys
from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio

from skylarklift.errors import SettingsError, leaf_errors
from skylarklift.util.settings_reload import load_at_start

EXIT_OK = 0
EXIT_SETTINGS = 2
EXIT_SYSTEM = 3

SettingsT = TypeVar("SettingsT")


def run_daemon(
    name: str,
    path: str,
    load: Callable[[], SettingsT],
    run: Callable[[SettingsT], Awaitable[None]],
    *,
    check: bool,
) -> int:
    """Load the settings and run a daemon, or only validate them; return the exit code."""
    try:
        settings = load() if check else load_at_start(path, load)
    except SettingsError as exc:
        for finding in exc.findings:
            print(finding, file=sys.stderr)
        return EXIT_SETTINGS
    if check:
        print(f"{path}: valid")
        return EXIT_OK
    code = EXIT_OK
    try:
        trio.run(run, settings)
    except* OSError as group:
        for exc in leaf_errors(group):
            print(f"{name}: {exc}", file=sys.stderr)
        code = EXIT_SYSTEM
    return code
