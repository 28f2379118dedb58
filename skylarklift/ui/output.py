"""Output of the commands, as text or as JSON, and exit codes."""

import json
import sys
from enum import IntEnum
from typing import Any

from skylarklift.ui.client import ApiError
from skylarklift.util.findings import Finding


class ExitCode(IntEnum):
    """The exit codes of the command-line tool."""

    OK = 0
    INVALID = 1
    USAGE = 2
    CONFLICT = 3
    UNREACHABLE = 4
    NOT_AUTHENTICATED = 5
    UNSETTLED = 6
    REFUSED = 7


API_ERROR_EXIT_CODES = {
    "stale_patch": ExitCode.CONFLICT,
    "order_giver_elsewhere": ExitCode.CONFLICT,
    "not_authenticated": ExitCode.NOT_AUTHENTICATED,
    "unsettled": ExitCode.UNSETTLED,
    "invalid_configuration": ExitCode.INVALID,
}


class Output:
    """Prints results to standard output and notes to standard error."""

    def __init__(self, as_json: bool):
        self._as_json = as_json

    def value(self, value: Any, text: str | None) -> None:
        """Print a result: the value as JSON, or the text if there is one."""
        if self._as_json:
            print(json.dumps(value, indent=2))
        elif text:
            print(text)

    def note(self, text: str) -> None:
        """Print a note to standard error, except with JSON output."""
        if not self._as_json:
            print(text, file=sys.stderr)

    def findings(self, findings: list[Finding]) -> None:
        """Print findings with their locations."""
        if self._as_json:
            print(json.dumps([vars(finding) for finding in findings], indent=2))
            return
        for finding in findings:
            print(finding, file=sys.stderr)

    def api_error(self, exc: ApiError) -> int:
        """Print an error of the API with its details; return the exit code."""
        print(f"skylarklift: {exc}", file=sys.stderr)
        for finding in exc.details.get("findings", ()):
            print(f"  {finding['key']}: {finding['text']}", file=sys.stderr)
        for change in exc.details.get("changes", ()):
            patch = json.dumps(change["patch"])
            line = f"  version {change['version']} by {change['operator']}: {patch}"
            print(line, file=sys.stderr)
        return API_ERROR_EXIT_CODES.get(exc.code, ExitCode.REFUSED)

    def router_table(self, status: dict) -> None:
        """Print one line per router."""
        if self._as_json:
            return
        print(f"{'router':<14}{'zone':<10}{'version':>8}{'age s':>8}{'fresh':>7}{'in flight':>11}")
        for name, item in status["routers"].items():
            if item is None:
                print(f"{name:<14}does not answer")
                continue
            age = f"{item['age_ms'] / 1000:.0f}"
            fresh = "yes" if item["fresh"] else "no"
            line = f"{name:<14}{item['zone']:<10}{item['version']:>8}{age:>8}{fresh:>7}"
            print(f"{line}{item['in_flight']:>11}")

    def pool_table(self, status: dict) -> None:
        """Print one line per pool and one per replica."""
        if self._as_json:
            return
        for item in status["routers"].values():
            for pool in item["pools"] if item else ():
                head = f"pool {pool['pool']}: admitted by {pool['admitter']}"
                print(f"{head}, bound {pool['bound']}, queued {pool['queued']}")
                for replica, load in sorted(pool["loads"].items()):
                    limit = pool["limits"][replica]
                    state = "in" if replica in pool["in_service"] else "out"
                    print(f"  {replica:<20}{state:<5}{load:>4} of {limit}")
