"""The tool's commands; each takes the parsed options and returns an exit code."""

import argparse
import difflib
import json
import sys
import time
from pathlib import Path
from typing import Any

from skylarklift.config.routing import parse_routing
from skylarklift.errors import SettingsError
from skylarklift.generated import PatchFormat
from skylarklift.settings import load_settings
from skylarklift.ui.client import OperatorClient
from skylarklift.ui.output import ExitCode, Output
from skylarklift.util.findings import Finding
from skylarklift.util.jsonc import parse_text

WAIT_TIMEOUT_S = 30.0
WAIT_POLL_INTERVAL_S = 0.1


def validate(options: argparse.Namespace, out: Output) -> int:
    """Validate settings or routing files and report the findings of all of them."""
    findings: list[Finding] = []
    for path in options.files:
        try:
            check_file(path, options.kind)
        except SettingsError as exc:
            findings.extend(exc.findings)
    out.findings(findings)
    return ExitCode.INVALID if findings else ExitCode.OK


def check_file(path: str, kind: str) -> None:
    """Validate one file; raise `SettingsError` with its findings."""
    if kind == "settings":
        load_settings(path)
    else:
        parse_routing(path, read_text(path))


def read_text(path: str) -> str:
    """Return the text of a file, or of standard input if the path is `-`."""
    try:
        return sys.stdin.read() if path == "-" else Path(path).read_text()
    except OSError as exc:
        raise SettingsError([Finding(path, 0, "", exc.strerror or str(exc))]) from exc


def read_value(path: str) -> Any:
    """Return the parsed value of a JSON file with comments."""
    return parse_text(path, read_text(path)).value


def show(options: argparse.Namespace, out: Output) -> int:
    """Show the configuration in force."""
    response = client(options).configuration()
    out.value(response, json.dumps(response["routing"], indent=2))
    out.note(f"version {response['version']}, digest {response['digest']}")
    return ExitCode.OK


def diff(options: argparse.Namespace, out: Output) -> int:
    """Show the differences between the configuration in force and a routing file."""
    response = client(options).configuration()
    wanted = parse_routing(options.file, read_text(options.file))
    lines = list(
        difflib.unified_diff(
            _sorted_lines(response["routing"]),
            _sorted_lines(wanted),
            f"version {response['version']}",
            options.file,
            lineterm="",
        )
    )
    out.value({"version": response["version"], "diff": lines}, "\n".join(lines))
    return ExitCode.INVALID if lines else ExitCode.OK


def _sorted_lines(value: Any) -> list[str]:
    """Return a value as indented JSON lines with sorted keys."""
    return json.dumps(value, indent=2, sort_keys=True).splitlines()


def patch(options: argparse.Namespace, out: Output) -> int:
    """Submit a patch file, or only validate it with --dry-run."""
    api = client(options)
    patch_format = PatchFormat(options.format)
    value = read_value(options.file)
    base = options.base if options.base is not None else api.configuration()["version"]
    if options.dry_run:
        api.check(base, patch_format, value)
        out.value({"valid": True}, f"the patch is valid against version {base}")
        return ExitCode.OK
    accepted = api.submit(base, patch_format, value, options.patch_id, options.note)
    return finish_patch(api, options, out, accepted.version, accepted.patch_id)


def zone(options: argparse.Namespace, out: Output) -> int:
    """Take an availability zone out of service or back in."""
    change = {"zones": {options.zone: {"state": options.state}}}
    return submit_change(options, out, change, ("zones", options.zone))


def drain(options: argparse.Namespace, out: Output) -> int:
    """Stop sending new work to an upstream, or put it back in service."""
    group, kind = ("pools", "replicas") if options.pool else ("services", "upstreams")
    owner = options.pool or options.service
    state = "in" if options.undo else "draining"
    change = {group: {owner: {kind: {options.upstream: {"state": state}}}}}
    return submit_change(options, out, change, (group, owner, kind, options.upstream))


def submit_change(
    options: argparse.Namespace, out: Output, change: dict, path: tuple[str, ...]
) -> int:
    """Submit a merge patch; the key path that it changes must exist."""
    api = client(options)
    response = api.configuration()
    section = response["routing"]
    for part in path:
        if part not in section:
            finding = Finding("configuration", 0, ".".join(path), f"no {part!r} is configured")
            out.findings([finding])
            return ExitCode.INVALID
        section = section[part]
    base = options.base if options.base is not None else response["version"]
    accepted = api.submit(base, PatchFormat.MERGE, change, options.patch_id, options.note)
    return finish_patch(api, options, out, accepted.version, accepted.patch_id)


def finish_patch(
    api: OperatorClient, options: argparse.Namespace, out: Output, version: int, patch_id: str
) -> int:
    """Report an accepted patch; with --wait, first wait for it at every router."""
    result = {"version": version, "patch_id": patch_id}
    text = f"accepted as version {version} (patch id {patch_id})"
    if options.wait:
        behind = wait_in_force(api, version)
        result["behind"] = behind
        text += "; in force everywhere" if not behind else f"; not yet at {', '.join(behind)}"
    out.value(result, text)
    return ExitCode.UNSETTLED if result.get("behind") else ExitCode.OK


def wait_in_force(api: OperatorClient, version: int) -> list[str]:
    """Wait until every router has the version; return those that lack it at the time-out."""
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while True:
        routers = api.status()["routers"]
        behind = [
            name
            for name, status in routers.items()
            if status is None or status["version"] < version or not status["fresh"]
        ]
        if not behind or time.monotonic() >= deadline:
            return behind
        time.sleep(WAIT_POLL_INTERVAL_S)


def status(options: argparse.Namespace, out: Output) -> int:
    """Show the status of every router and pool."""
    response = client(options).status()
    out.value(response, None)
    out.router_table(response)
    out.pool_table(response)
    silent = [name for name, item in response["routers"].items() if item is None]
    return ExitCode.UNREACHABLE if silent else ExitCode.OK


def history(options: argparse.Namespace, out: Output) -> int:
    """Show the accepted patches."""
    response = client(options).history(options.since)
    lines = [
        f"{row['version']:>6}  {row['operator']:<12} {row['patch_id']}  {json.dumps(row['patch'])}"
        for row in response["changes"]
    ]
    out.value(response, "\n".join(lines))
    return ExitCode.OK


def claim(options: argparse.Namespace, out: Output) -> int:
    """Show the claim of a non-idempotent request."""
    response = client(options).claim(options.workspace, options.key)
    row = response["claim"]
    if row is None:
        text = "no claim: no router dispatched the request within the retention period of claims"
    elif row["status"]:
        text = f"ran: router {row['router']} answered with status {row['status']}"
    else:
        text = f"claimed by router {row['router']}, outcome unknown: check with the service"
    out.value(response, text)
    return ExitCode.OK


def order(options: argparse.Namespace, out: Output) -> int:
    """Send an order to an engine and show its outcome."""
    api = client(options)
    response = api.order(options.pool, options.replica, options.kind, options.name)
    out.value(response, f"{response['outcome']} with fencing number {response['fence']}")
    return ExitCode.OK if response["outcome"] == "done" else ExitCode.UNSETTLED


def client(options: argparse.Namespace) -> OperatorClient:
    """Return an API client for the URL and token of the options."""
    return OperatorClient(options.url, options.token)
