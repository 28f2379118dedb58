"""Build the objects that tests of an entry router need: settings, cores, rows and calls."""

import json

from skylarklift.clock import ManualClock, Millis
from skylarklift.entry.core import Core, make_core
from skylarklift.entry.model import Call, Endpoint, NodeSettings, PromptPart
from skylarklift.entry.state.rows import RowChange, RowPage, RowTable
from skylarklift.platform.headers import PlatformHeaderCodec
from skylarklift.platform.rows import PlatformRowFormat
from skylarklift.platform.status import PlatformStatusFormat

ZONES = ("cape-a", "cape-b", "cape-c")
ROUTE = {
    "name": "chat",
    "hostname": "app.example",
    "prefix": "/chat/",
    "route_type": "streaming",
    "timeout_ms": 5000,
    "goal_ms": 500,
    "priority": 1,
    "service": "lm",
    "max_attempts": 2,
    "session_affinity": True,
    "stream_resume": True,
}
LM_SERVICE = {
    "name": "lm",
    "health_check": "/healthz",
    "max_connections": 100,
    "cold_start_s": 3.0,
    "cold_per_s": 13.0,
    "runtime": {"slots": 64},
}
TILL_SERVICE = {"name": "till", "health_check": "/healthz", "max_connections": 100}


class RecordingEventLog:
    """An event log that keeps its lines in memory."""

    def __init__(self):
        self.lines = []

    def write(self, event, **fields):
        self.lines.append({"event": event, **fields})

    def flush(self):
        pass


def node_settings(node="r1", zone="cape-a", port=1) -> NodeSettings:
    """Return the settings of a router that is not started."""
    here = Endpoint("127.0.0.1", port)
    return NodeSettings(node, zone, {}, here, here, here, (), here)


def new_core(clock=None, **settings) -> Core:
    """Return the core of a router that has read no rows."""
    row_format = PlatformRowFormat()
    clock = clock or ManualClock(10_000)
    return make_core(
        node_settings(**settings),
        clock,
        PlatformHeaderCodec(),
        row_format,
        PlatformStatusFormat(),
        RecordingEventLog(),
    )


def plan_data(version=1, routes=(), services=(LM_SERVICE, TILL_SERVICE), keys=("k1",)) -> bytes:
    """Return the data of a configuration row."""
    value = {
        "version": version,
        "routes": [{**ROUTE, **route} for route in routes] or [ROUTE],
        "services": list(services),
        "limits": {},
        "tenants": [{"name": "w1", "api_keys": list(keys), "priority": 1}],
    }
    return json.dumps(value).encode()


def upstream_data(service="lm", zone="cape-a", port=9000, **fields) -> bytes:
    """Return the data of an upstream's row."""
    value = {
        "service": service,
        "address": f"127.0.0.1:{port}",
        "zone": zone,
        "version": "v1",
        "slots": 64,
        "state": "ready",
        "cold_remaining_ms": 0,
        "born": 1,
        "sequence": 1,
        **fields,
    }
    return json.dumps(value).encode()


def apply_rows(core, table, version, rows, complete=False):
    """Apply rows, given by key, to a core; the page and each of its rows get the version."""
    changes = [RowChange(key, version, data) for key, data in rows.items()]
    core.cluster_state.confirm_version(table, version)
    return core.cluster_state.apply_page(table, RowPage(changes, version, complete))


def core_with_replicas(replicas: int, clock=None, upstream_port=9000, **fields) -> Core:
    """Return a core with a plan and the replicas `r0`, `r1`, ... of the service `lm`.

    Their ports follow each other from `upstream_port` on.
    """
    core = new_core(clock)
    apply_rows(core, RowTable.OPERATOR, 1, {"config": plan_data()}, complete=True)
    rows = {
        f"r{n}": upstream_data(zone=ZONES[n % 3], port=upstream_port + n, **fields)
        for n in range(replicas)
    }
    apply_rows(core, RowTable.UPSTREAMS, 1, rows, complete=True)
    return core


def new_call(parts="", request="q1", deadline_ms=3000) -> Call:
    """Return a call whose prompt parts are given as `NAME:TOKENS,NAME:TOKENS,...`."""
    prompt_parts = tuple(
        PromptPart(name, int(tokens))
        for name, tokens in (item.split(":") for item in parts.split(",") if item)
    )
    call = Call(request, b"POST", b"/chat/x", "app.example", "/chat/x", [], Millis(10_000))
    call.deadline_ms = deadline_ms
    call.parts = prompt_parts
    return call


def parse_yes_no(word):
    assert word in ("yes", "no"), word
    return word == "yes"


def choose(core, call, tried=()):
    """Return the choice for a call on the only route of `plan_data`."""
    route = core.cluster_state.plan.route("app.example", "/chat/x")
    return core.chooser.choose(call, route, "lm", tried)


def apply_next_rows(context, table, rows):
    """Apply rows to the core with the next version."""
    context.version += 1
    return apply_rows(context.core, table, context.version, rows)
