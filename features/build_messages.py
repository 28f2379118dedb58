"""Write and read what crosses between routers with the packages of one build.

It runs with those of the current folder, an earlier build's, say, so it uses no other module of
the tests.  It prints JSON.

Usage: python build_messages.py write KIND | read KIND HEX... | ask KIND | answer HEX
  | write_again HEX | pass_on HEX | row HEX AGE_MS | heard HEX AGE_MS
"""

import json
import sys
from collections import Counter
from dataclasses import fields, is_dataclass
from enum import Enum
from importlib import import_module
from types import SimpleNamespace
from typing import Any

import msgpack

from skylarklift.clock import ManualClock, Millis
from skylarklift.entry.crashes import crash_evidence, crash_messages, quarantine
from skylarklift.entry.gossip import fleet, load_messages, wire
from skylarklift.entry.placement import observed_loads, prefixes, rate_limits
from skylarklift.entry.state import follower, row_cache, rows
from skylarklift.entry.versions import origin_messages, releases, stream_deadlines, stream_origins
from skylarklift.errors import PeerError

NOW = Millis(10_000_000)
ROW_VERSION = 7
FIRST_ERA, ERA = rows.Era(1), rows.Era(2)


def find(module: str) -> Any:
    """Return a module of the routers, `None` in builds that have none."""
    try:
        return import_module(f"skylarklift.entry.{module}")
    except ModuleNotFoundError:
        return None


release_rows = find("versions.release_rows") or releases


def make(kind: type, **values: Any) -> Any:
    """Return an object with those of the values that its class knows."""
    known = {item.name for item in fields(kind)}
    return kind(**{name: value for name, value in values.items() if name in known})


def make_step(age_ms: int, **weights: int) -> Any:
    """Return proportions; without any they are unknown."""
    steps = find("versions.release_steps") or releases
    pairs = sorted(weights.items())
    return make(
        steps.ReleaseStep,
        age_ms=age_ms,
        weights=tuple(steps.VersionWeight(*pair) for pair in pairs),
        from_ms=age_ms - 150,
        settled_ms=age_ms - 250,
        stored_ms=NOW - age_ms,
    )


def make_spans() -> tuple:
    """Return the span of a route."""
    module = find("versions.nominal_starts")
    return () if module is None else (module.RouteSpan("r1", 15_000, 800),)


def make_processes() -> tuple:
    """Return processes of a version that a row names."""
    module = find("versions.release_members")
    kind = getattr(module, "VersionProcesses", None)
    return () if kind is None else (kind("v2", ("89abcdef01234567", "0123456789abcdef")),)


def make_report(*steps: Any) -> Any:
    """Return a service's row."""
    deadline = stream_deadlines.LongestDeadline(15_000, 400)
    return make(
        release_rows.ReleaseReport,
        service="lm",
        row_version=ROW_VERSION,
        steps=steps,
        era=ERA,
        deadline=deadline,
        written_in=ERA,
        members="0123456789abcdef",
        silences=make_silences(),
        shorter_deadlines=(stream_deadlines.LongestDeadline(3000, 100),),
        spans=make_spans(),
        processes=make_processes(),
    )


def known_steps() -> tuple:
    """Return proportions, one of them merged with weights of 0."""
    return make_step(9000, v1=3), make_step(4000, v1=0, v2=2), make_step(0, v2=3)


def unknown_steps() -> tuple:
    """Return proportions of which the first ones are not known."""
    return make_step(9000), make_step(4000, v2=1), make_step(0, v2=3)


def make_backpressure() -> Any:
    """Return what a router knows of upstreams that can reject few requests."""
    module = find("placement.concurrency_limits")
    if module is None or not hasattr(module, "Backpressure"):
        return None
    limits, rejections = module.RejectionLimit("lm", 3, 50), module.Rejection("lm-1", 60)
    return module.Backpressure((limits,), (rejections,))


def make_slow_replicas() -> tuple:
    """Return what a router knows of a slow replica."""
    module = find("placement.replica_speeds")
    return () if module is None else (module.SlowReplica("lm-1", 250, 90),)


def make_early_ends() -> tuple:
    """Return what a router knows of a replica that ended an answer early."""
    module = find("placement.early_ends")
    return () if module is None else (module.EarlyEnd(module.Software("lm", "v1"), 700),)


def make_load_message() -> Any:
    """Return a message about loads as a router of the release before reads it."""
    loads = (observed_loads.ObservedLoad("lm-1", 9, 80, True),)
    kind = getattr(load_messages, "LoadMessage", None)
    return loads if kind is None else kind(loads)


def make_silences() -> tuple:
    """Return a time in which a router was not heard."""
    module = find("gossip.silences")
    return () if module is None else (module.SilenceReport(5000, 900),)


def make_gossip(steps: tuple) -> Any:
    """Return a gossip message in which no field has its default."""
    load = observed_loads.ObservedLoad("lm-1", 9, 80, True)
    return make(
        fleet.GossipMessage,
        node="n1",
        boot="b1",
        address="10.0.0.1:70",
        tables=tuple(rows.TableSummary(5, 4, 3, 2, ERA) for _ in rows.RowTable),
        reads_store=True,
        leaving=True,
        loads={"lm-1": 4},
        ejected={"lm-2": 500},
        maybe_restarted=("lm-2",),
        placements=(prefixes.Placement(("p1", "p2"), "lm-1"),),
        router_count=6,
        limits=(rate_limits.LimitReport("lm-3", 2.5, 70),),
        observed_loads=(load,),
        slow_replicas=make_slow_replicas(),
        releases=(make_report(*steps),),
        releases_age_ms=300,
        suspected_restarts=("lm-4",),
        store_restored=True,
        zone="za",
        cut_zones=("zb",),
        hold_offs={"lm-5": 600},
        backpressure=make_backpressure(),
        silences=make_silences(),
        route_waits=make_route_waits(),
        rollouts=make_rollouts(),
        early_ends=make_early_ends(),
    )


def make_rollouts() -> Any:
    """Return what a router knows of a roll-out, and what it counted."""
    module, evidence = find("rollouts.news"), find("rollouts.evidence")
    if module is None:
        return None
    phase = find("rollouts.state").RolloutPhase.REVERTED
    state = module.StateReport("lm", "v2", 7, 900, 60_000, phase, 2)
    report = evidence.EvidenceReport("lm", 7, bad_replicas=Counter({"lm-7": 2}))
    report.routes[1, "v2", "r1"] = evidence.RouteCounts(9, 2, Counter({12: 7}))
    return module.RolloutNews((state,), (report,))


def make_route_waits() -> tuple:
    """Return how long the callers of a route wait."""
    module = find("versions.nominal_starts")
    return () if module is None else (module.RouteWait("lm", "r2", 12_000, 11_500, 11_000, 9),)


def make_crashes() -> Any:
    """Return a message about crashes, with one of each item."""
    part = crash_evidence.Suspect(crash_evidence.SuspectKind("part"), "p1")
    hold = quarantine.Hold(
        suspect=part,
        state=next(iter(quarantine.HoldState)),
        term=1,
        held_at=Millis(NOW - 200),
        until=Millis(NOW + 900),
        crashes=3,
        learned_at=NOW,
    )
    crash = make(
        crash_evidence.CrashReport,
        replica="lm-1",
        crashed_at=Millis(NOW - 100),
        fingerprint=77,
        parts=("p1",),
        answered=True,
        started_ms=1_700_000_000_123,
    )
    served = crash_messages.ServedReport(part, Millis(NOW - 150))
    return crash_messages.CrashMessage("n1", (crash,), (served,), (hold,))


def make_origins(ended: bool) -> Any:
    """Return the origins of two streams, one with a doubted end if the build knows them."""
    values = {"request": "s1", "service": "lm", "version": "v1"}
    if ended and hasattr(stream_origins, "DoubtedEnd"):
        values["doubted_end"] = stream_origins.DoubtedEnd(9, 2)
    first = make(stream_origins.StreamOrigin, **values)
    second = stream_origins.StreamOrigin("s2", "lm", None)
    return origin_messages.OriginMessage("n1", (first, second), ("s3",), ("s4",))


def write_origins(message: Any) -> list[bytes]:
    """Return a message on the origins of streams as datagrams for any other router."""
    split = getattr(origin_messages, "split_doubted_ends", lambda whole: (whole,))
    return [origin_messages.encode_origin_message(item) for item in split(message)]


def read_origins(datagrams: list[bytes]) -> dict:
    """Return what a router knows of the streams after some datagrams."""
    origins, asked, unknown = stream_origins.StreamOrigins(ManualClock(NOW)), [], []
    for data in datagrams:
        try:
            message = origin_messages.decode_origin_message(data)
        except PeerError:
            continue
        for origin in message.origins:
            origins.record(origin)
        asked += message.asked
        unknown += message.unknown
    found = {name: origins.find(name) for name in ("s1", "s2")}
    return {"origins": found, "asked": asked, "unknown": unknown}


def write_row(steps: tuple) -> bytes:
    """Return the data of a service's row."""
    report = make_report(*steps)
    row = make(
        release_rows.ReleaseRow,
        steps=report.steps,
        deadline=report.deadline,
        written_in=getattr(report, "written_in", None),
        spans=getattr(report, "spans", ()),
    )
    return release_rows.encode_release_row(row, NOW)


def read_row(data: bytes, row_version: int = ROW_VERSION) -> Any:
    """Return what a router that has just started knows after it has read a service's row."""
    row = release_rows.decode_release_row(data, NOW)
    report = make(
        release_rows.ReleaseReport,
        service="lm",
        row_version=row_version,
        steps=row.steps,
        era=FIRST_ERA,
        deadline=row.deadline,
        written_in=getattr(row, "written_in", None),
        spans=getattr(row, "spans", ()),
    )
    known = releases.Releases(ManualClock(NOW))
    known.apply(report)
    known.confirm(0)
    return known


def write_again(data: bytes) -> bytes:
    """Return the row that a router which has read it writes when a replica of v3 joins."""
    known = read_row(data)
    steps = known.next_row("lm", {"v2": 3, "v3": 1})
    row = make(release_rows.ReleaseRow, steps=steps, deadline=None, written_in=FIRST_ERA)
    return release_rows.encode_release_row(row, NOW)


def pass_on(data: bytes) -> bytes:
    """Return the gossip of a router that has read a row."""
    reports = read_row(data).reports()
    message = make(fleet.GossipMessage, **{**vars_of(make_gossip(())), "releases": reports})
    return wire.encode_gossip(message)


def vars_of(value: Any) -> dict[str, Any]:
    """Return the fields of an object."""
    return {item.name: getattr(value, item.name) for item in fields(value)}


def find_versions(known: Any, max_age_ms: int) -> list[str]:
    """Return the versions at which a stream can have begun, none if that is not known."""
    found = {key: known.began_at("lm", key, max_age_ms) for key in ("s0", "s1", "s2", "s3")}
    certain = [versions for versions in found.values() if versions and len(versions) == 1]
    return sorted({version for versions in certain for version in versions})


def heard(data: bytes) -> Any:
    """Return what a router that has just started knows after a gossip message."""
    known = releases.Releases(ManualClock(NOW))
    for report in wire.decode_gossip(data).releases:
        known.apply(report)
    known.confirm(0)
    return known


def make_page(era: int) -> Any:
    """Return a page of rows."""
    changes = [rows.RowChange("k1", 3, b"data"), rows.RowChange("k2", 4, None)]
    return rows.RowPage(changes, 4, True, rows.Era(era))


def write(kind: str) -> list[bytes]:
    """Return what this build sends."""
    writers = {
        "gossip": lambda: [wire.encode_gossip(make_gossip(known_steps()))],
        "unknown proportions": lambda: [wire.encode_gossip(make_gossip(unknown_steps()))],
        "loads": lambda: [load_messages.encode_load_message(make_load_message())],
        "crashes": lambda: [crash_messages.encode_crash_message(make_crashes(), NOW)],
        "origins": lambda: write_origins(make_origins(False)),
        "a doubted end": lambda: write_origins(make_origins(True)),
        "page": lambda: [wire.encode_page(make_page(0), with_era=False)],
        "page with an era": lambda: [wire.encode_page(make_page(ERA), with_era=True)],
        "row": lambda: [write_row(known_steps())],
        "row with unknown proportions": lambda: [write_row(unknown_steps())],
    }
    return writers[kind]()


def read(kind: str, datagrams: list[bytes]) -> Any:
    """Return what this build reads."""
    data = datagrams[0]
    if kind in ("gossip", "unknown proportions"):
        return wire.decode_gossip(data)
    if kind == "loads":
        message = load_messages.decode_load_message(data)
        return getattr(message, "loads", message)
    if kind == "crashes":
        assert crash_messages.is_crash_message(data)
        return crash_messages.decode_crash_message(data, NOW)
    if kind in ("origins", "a doubted end"):
        return read_origins(datagrams)
    if kind in ("page", "page with an era"):
        return wire.decode_page(data)
    return release_rows.decode_release_row(data, NOW)


def ask(kind: str) -> bytes:
    """Return the first frame of a connection to another router."""
    if kind == "rows":
        return msgpack.packb((rows.RowTable.UPSTREAMS.value, 0, ERA))
    relays, model = find("relays.relay_messages"), find("model")
    address = model.Endpoint("10.0.0.2", 80)
    return relays.encode_relay_request(relays.RelayRequest("lm-1", address, 500))


def answer(body: bytes) -> str:
    """Return how this build answers the first frame of a connection."""
    relays = find("relays.relay_messages")
    if relays is not None and relays.is_relay_request(body):
        return "relay"
    caches = {table: row_cache.RowCache() for table in rows.RowTable}
    state = SimpleNamespace(caches=caches)
    core = SimpleNamespace(cluster_state=state, page_encoder=wire.PageEncoder())
    try:
        follower.rows_for_request(core, body)
    except PeerError:
        return "refused"
    return "rows"


def to_plain(value: Any) -> Any:
    """Return a value as JSON has it, objects by their fields."""
    if is_dataclass(value):
        return {item.name: to_plain(getattr(value, item.name)) for item in fields(value)}
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, dict):
        return {str(key): to_plain(item) for key, item in value.items()}
    if isinstance(value, (list, tuple)):
        return [to_plain(item) for item in value]
    return value


def run(command: str, *items: str) -> Any:
    """Return what a command says."""
    if command == "write":
        return [data.hex() for data in write(*items)]
    if command == "ask":
        return [ask(*items).hex()]
    if command == "answer":
        return answer(bytes.fromhex(*items))
    if command in ("write_again", "pass_on"):
        return [
            {"write_again": write_again, "pass_on": pass_on}[command](bytes.fromhex(*items)).hex()
        ]
    if command in ("row", "heard"):
        data, age_ms = items
        known = {"row": read_row, "heard": heard}[command](bytes.fromhex(data))
        return find_versions(known, int(age_ms))
    kind, *datagrams = items
    try:
        return to_plain(read(kind, [bytes.fromhex(item) for item in datagrams]))
    except PeerError as exc:
        return f"refused: {exc}"


if __name__ == "__main__":
    print(json.dumps(run(*sys.argv[1:])))
