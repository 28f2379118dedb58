"""Read the logs of several routers: one request's story, and a summary of what went wrong."""

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
# Events that tell of a request; all others are beliefs or the router's own life.
REQUEST_EVENTS = ("request", "request_failed")
ROUTER_EVENTS = ("start", "stopping", "stop", "store_lost", "store_regained", "plan", "zone_out")


def explain(options: argparse.Namespace, out: Output) -> int:
    """Show every line about one request, router by router, and the beliefs around it."""
    lines = list(read_lines(options.files))
    request_lines = [line for line in lines if line.get("id") == options.request]
    if not request_lines:
        out.note(f"no line about {options.request!r}; it may be left out under load")
        return ExitCode.INVALID
    shown = request_lines + _related_lines(lines, request_lines, options.around_ms)
    shown.sort(key=lambda line: (line["node"], line["ms"]))
    out.value(shown, "\n".join(_format_line(line) for line in shown))
    return ExitCode.OK


def summarise(options: argparse.Namespace, out: Output) -> int:
    """Count requests by status, failed sends by outcome, and changes of belief."""
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
    """Yield the log lines of files; raise `SettingsError` for a file that is no log."""
    for path in paths:
        try:
            text = Path(path).read_text(errors="replace")
        except OSError as exc:
            raise SettingsError([Finding(path, 0, "", exc.strerror or str(exc))]) from exc
        lines = [line for line in map(_parse, text.splitlines()) if line is not None]
        if text and not lines:
            raise SettingsError([Finding(path, 1, "", "no line of a router's log")])
        yield from lines


def _parse(text: str) -> dict[str, Any] | None:
    """Return a log line, or `None` for other text such as a part of a line."""
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
    """Return what the same routers came to believe around the request.

    The clocks of routers are not compared: each router's lines are taken by its own.
    """
    spans: dict[str, tuple[int, int]] = {}
    for line in request_lines:
        first, last = spans.get(line["node"], (line["ms"], line["ms"]))
        started_at = line["ms"] - line.get("ms_taken", 0)
        spans[line["node"]] = (min(first, started_at), max(last, line["ms"]))
    upstreams = {line["upstream"] for line in request_lines if "upstream" in line}
    return [
        line
        for line in lines
        if "id" not in line
        and line["node"] in spans
        and spans[line["node"]][0] - around_ms <= line["ms"] <= spans[line["node"]][1] + around_ms
        and (line.get("subject", "") in upstreams or line["event"] in ROUTER_EVENTS)
    ]


def _format_line(line: dict[str, Any]) -> str:
    """Return a log line as text."""
    fields = " ".join(
        f"{name}={json.dumps(value)}" for name, value in line.items() if name not in STANDARD_FIELDS
    )
    return f"{line['node']} {line['ms']} ms  {line['event']}  {fields}"
