"""Read the logs of several routers: trace one request, or summarize all events."""

import argparse
import json
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from skylarklift.errors import SettingsError
from skylarklift.ui.output import ExitCode, Output
from skylarklift.util.findings import Finding

STANDARD_FIELDS = ("ms", "node", "event")
# Events that end a request; the others are about a single attempt, a change of the cluster
# state or the router itself.
REQUEST_EVENTS = ("request", "request_failed")
QUARANTINE_EVENTS = (
    "quarantined",
    "quarantine_on_trial",
    "quarantine_extended",
    "quarantine_released",
    "quarantine_expired",
)
ROUTER_EVENTS = (
    "start",
    "stopping",
    "stop",
    "exit",
    "store_lost",
    "store_regained",
    "store_era",
    "plan",
    "zone_out",
    "release_step",
)
# What upstreams ask of their callers; it holds until they say otherwise.
DEMAND_EVENTS = (
    "upstream_limit_named",
    "upstream_limit_lifted",
    "upstream_limit_expired",
    "rejection_limit_named",
    "rejection_limit_lifted",
    "rejection_limit_expired",
    "upstream_rejected",
    "upstream_hold_off",
    "upstream_leaving",
)
DEMAND_REFUSALS = ("upstreams_limited", "upstreams_saturated", "upstreams_ask_to_wait")


def explain(options: argparse.Namespace, out: Output) -> int:
    """Show all lines about one request, with related lines, grouped by router."""
    lines = list(read_lines(options.files))
    request_lines = [line for line in lines if line.get("id") == options.request]
    if not request_lines:
        out.note(f"no line about {options.request!r}; routers drop log lines under load")
        return ExitCode.INVALID
    shown = request_lines + _related_lines(lines, request_lines, options.around_ms)
    shown.sort(key=lambda line: (line["node"], line["ms"]))
    out.value(shown, "\n".join(_format_line(line) for line in shown))
    return ExitCode.OK


def summarize(options: argparse.Namespace, out: Output) -> int:
    """Count requests by status, failed sends by outcome, and all other events by name."""
    counts: Counter[str] = Counter()
    for line in read_lines(options.files):
        event = line["event"]
        if event in REQUEST_EVENTS:
            counts[f"status {line['status'] or 'none'}"] += 1
            counts.update(f"refused as {step}" for step in line["sends"] if ":" not in step)
        elif event == "send_failed":
            counts[f"send {line['outcome']} at {line['upstream']}"] += 1
        elif event == "lines_left_out":
            counts.update({f"left out: {name}": n for name, n in line["counts"].items()})
        else:
            counts[event] += 1
    ordered = dict(counts.most_common())
    out.value(ordered, "\n".join(f"{count:8}  {name}" for name, count in ordered.items()))
    return ExitCode.OK


def read_lines(paths: list[str]) -> Iterator[dict[str, Any]]:
    """Yield the log lines of files; raise `SettingsError` for a file without any."""
    for path in paths:
        try:
            text = Path(path).read_text(errors="replace")
        except OSError as exc:
            raise SettingsError([Finding(path, 0, "", exc.strerror or str(exc))]) from exc
        lines = [line for line in map(_parse, text.splitlines()) if line is not None]
        if text and not lines:
            raise SettingsError([Finding(path, 1, "", "no log line of a router found")])
        yield from lines


def _parse(text: str) -> dict[str, Any] | None:
    """Return a parsed log line, or `None` for other text such as a truncated line."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        line = json.loads(text[start:])
    except ValueError:
        return None
    return line if all(name in line for name in STANDARD_FIELDS) else None


def _related_lines(
    lines: list[dict[str, Any]], request_lines: list[dict[str, Any]], around_ms: int
) -> list[dict[str, Any]]:
    """Return related lines of the same routers.

    These are lines about the request's upstreams and lines of `ROUTER_EVENTS` that were logged up
    to `around_ms` before and after it, and, whenever it was, how the part that it was held back
    for came to be held back, and what the upstreams that it passed over asked for.  The clocks of
    routers are not comparable, so each router's lines are selected by its own time stamps.
    """
    time_ranges: dict[str, tuple[int, int]] = {}
    for line in request_lines:
        first, last = time_ranges.get(line["node"], (line["ms"], line["ms"]))
        started_at = line["ms"] - line.get("ms_taken", 0)
        time_ranges[line["node"]] = (min(first, started_at), max(last, line["ms"]))
    upstreams = {line["upstream"] for line in request_lines if "upstream" in line}
    held = {line["subject"] for line in request_lines if "subject" in line}
    passed_over = _passed_over(request_lines)
    refused = any(step in DEMAND_REFUSALS for line in request_lines for step in _steps(line))
    related = []
    for line in lines:
        if "id" in line or line["node"] not in time_ranges:
            continue
        first, last = time_ranges[line["node"]]
        if line["event"] in QUARANTINE_EVENTS:
            if line["subject"] in held and line["ms"] <= last + around_ms:
                related.append(line)
        elif line["event"] in DEMAND_EVENTS:
            if (refused or line["subject"] in passed_over | upstreams) and line["ms"] <= last:
                related.append(line)
        elif first - around_ms <= line["ms"] <= last + around_ms:
            if line.get("subject", "") in upstreams or line["event"] in ROUTER_EVENTS:
                related.append(line)
    return related


def _steps(line: dict[str, Any]) -> list[str]:
    """Return the steps of a line that ends a request; the `sends` of other lines is a count."""
    return line["sends"] if line["event"] in REQUEST_EVENTS else []


def _passed_over(request_lines: list[dict[str, Any]]) -> set[str]:
    """Return the upstreams that a request passed over, from items of the form REPLICA:REASON."""
    return {
        item.partition(":")[0] for line in request_lines for item in line.get("passed_over", ())
    }


def _format_line(line: dict[str, Any]) -> str:
    """Format a log line as text."""
    fields = " ".join(
        f"{name}={json.dumps(value)}" for name, value in line.items() if name not in STANDARD_FIELDS
    )
    return f"{line['node']} {line['ms']} ms  {line['event']}  {fields}"
