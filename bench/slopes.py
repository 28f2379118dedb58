"""Measure the cost of one more replica, workspace, chat or request, for docs/CAPACITY.md."""

import time
import tracemalloc

from msgspec import json, msgpack

from bench.report import Report
from skylarklift.clock import ManualClock
from skylarklift.config.patching import PatchFormat, PatchRequest, apply_patch_row, plan_patch
from skylarklift.config.routing import RoutingTable
from skylarklift.generated import (
    Ask,
    Done,
    Granted,
    Pool,
    Pull,
    PullReply,
    Ramp,
    Release,
    ReleaseEntry,
    Replica,
    Vote,
    VoteReply,
)
from skylarklift.hashing import chat_key
from skylarklift.ids import ChatKey, GrantId, ReplicaId, RouterId, Version, WorkspaceId
from skylarklift.pools.admitter import PoolAdmitter
from skylarklift.pools.grants import AdmissionRequest, Grant, GrantKey
from skylarklift.pools.policies import PrefixHolders
from skylarklift.routers.frames import LENGTH_BYTES

REPLICA_COUNTS = (4, 8, 16)
WORKSPACE_COUNTS = (650, 1625, 3250, 6500)
CHATS = 100_000
ASKS = 5000
MICROS_PER_S = 1e6
BYTES_PER_MB = 1e6


def run(seed: int) -> Report:
    """Measure all costs in this process."""
    report = Report("slopes", "slopes for the capacity page")
    for count in REPLICA_COUNTS:
        report.add(f"admission and release, pool of {count}", admission_micros(count), "us")
    report.add("memory of a remembered chat", memory_of_chat(), "B")
    for count in WORKSPACE_COUNTS:
        add_configuration(report, count)
    add_message_sizes(report)
    return report


def make_pool(count: int) -> Pool:
    """Return a pool of `count` replicas with 32 slots each."""
    replicas = {
        f"replica-{n}": Replica(url=f"http://10.0.0.{n}:8000", zone=f"zone-{n % 7}", slots=32)
        for n in range(count)
    }
    return Pool(models=["m"], replicas=replicas, ramp=Ramp(duration_ms=0))


def admission_micros(count: int) -> float:
    """Return the CPU time in microseconds of an admission and its release.

    The pool holds about 12 requests for each replica.
    """
    clock = ManualClock()
    pool = make_pool(count)
    admitter = PoolAdmitter(clock, pool, [ReplicaId(name) for name in pool.replicas], warm=True)
    held: list[GrantKey] = []
    began = time.process_time()
    for number in range(ASKS):
        key = GrantKey(RouterId("router"), GrantId(number))
        chat = chat_key("w", str(number % 997))
        request = AdmissionRequest(key, chat, WorkspaceId(f"w{number % 10}"))
        decisions = admitter.ask(request)
        held += [item.key for item in decisions if isinstance(item, Grant)]
        if len(held) > count * 12:
            admitter.release(held.pop(0))
        clock.advance(2)
        admitter.tick()
    return (time.process_time() - began) / ASKS * MICROS_PER_S


def memory_of_chat() -> float:
    """Return the bytes of memory of one chat in `PrefixHolders`."""
    memory = PrefixHolders(CHATS)
    names = [ReplicaId(f"replica-{n}") for n in range(8)]
    tracemalloc.start()
    for number in range(CHATS):
        memory.record(ChatKey(2**63 + number), names[number % 8])
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / CHATS


def make_routing(workspaces: int, replicas: int = 650, pool_size: int = 8) -> dict:
    """Return a configuration; the defaults are the size expected in two years."""
    pools = {}
    for first in range(0, replicas, pool_size):
        members = range(first, min(first + pool_size, replicas))
        pools[f"pool-{first // pool_size}"] = {
            "models": [f"model-{first % 11}"],
            "replicas": {
                f"replica-{n}": {
                    "url": f"http://10.1.{n // 256}.{n % 256}:80",
                    "zone": f"zone-{n % 7}",
                }
                for n in members
            },
        }
    names = list(pools)
    spaces = {
        f"workspace-{n}": {"pools": [names[n % len(names)], names[(n + 1) % len(names)]]}
        for n in range(workspaces)
    }
    return {"zones": {f"zone-{n}": {} for n in range(7)}, "pools": pools, "workspaces": spaces}


def add_configuration(report: Report, workspaces: int) -> None:
    """Add the size and memory of a configuration, and the CPU time to check and apply a patch."""
    value = make_routing(workspaces)
    tracemalloc.start()
    table = RoutingTable(Version(1), json.decode(json.encode(value)))
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    patch = {"workspaces": {"workspace-3": {"share": 2}}}
    request = PatchRequest(Version(1), "p", "anna", PatchFormat.MERGE, patch)
    began = time.process_time()
    plan = plan_patch(table, None, request)
    planned = time.process_time()
    apply_patch_row(table, plan.row)
    replayed = time.process_time()
    report.add(f"snapshot, {workspaces} workspaces", len(json.encode(value)) / 1000, "kB")
    report.add(f"memory of a version, {workspaces} workspaces", size / BYTES_PER_MB, "MB")
    report.add(f"checking a patch, {workspaces} workspaces", (planned - began) * 1000, "ms")
    report.add(f"replaying a patch, {workspaces} workspaces", (replayed - planned) * 1000, "ms")


def add_message_sizes(report: Report) -> None:
    """Add the encoded sizes of the most frequent messages."""
    big, key = 2**28, 2**63 + 5
    messages = {
        "Ask": Ask(big, big, "pool-41", key, 90_000, 8000, "workspace-4711", 1, 2**31, [], ""),
        "Granted": Granted(big, big, "replica-401", 90_000, 120, 2**30),
        "Release": Release(big, "pool-41", [ReleaseEntry(big, 0, 340)]),
        "Done": Done(big),
        "Pull": Pull(big, 90_000, 70_000, 2**31),
        "PullReply": PullReply(big, 90_000, 70_000, 2**31, 700, False, False),
        "Vote": Vote(big, "pool/pool-41", 2000, 70_000),
        "VoteReply": VoteReply(big, True, "router-390", 2000),
    }
    for name, message in messages.items():
        report.add(f"bytes of {name}", len(msgpack.encode(message)) + LENGTH_BYTES, "B")
