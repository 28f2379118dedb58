"""Measure control bytes, CPU use and memory of a router by the number of routers."""

import time

from bench.deployments import (
    LoadGenerator,
    cpu_seconds,
    fleet_control_bytes,
    make_deployment,
    resident_mb,
)
from bench.report import Report
from standins.deployment import Deployment, Shape

SIZES = (2, 4, 8, 16, 32)
IDLE_S = 4.0
LOAD_S = 4.0
LOADED_SIZE = 8
# Messages that are part of a request; they are counted apart from control traffic.
REQUEST_TYPES = ("Ask", "Granted", "Refused", "Release", "Done")
# Messages of status calls, which this benchmark causes itself, and of new connections.
EXCLUDED_TYPES = ("StatusAsk", "StatusReply", "Hello", "Challenge", "Proof")


def run(seed: int) -> Report:
    """Measure idle fleets of several sizes, and one of them also under load."""
    report = Report("control", "control of a router by the number of routers, at rest")
    report.axes = ("routers", "bytes a second a router")
    for size in SIZES:
        with make_deployment(Shape(3, {"till": 6}, ("redeem",), size)) as deployment:
            bytes_each, cpu, memory = measure_idle(deployment)
            report.at_most(f"control bytes at {size} routers", bytes_each, 2000, "B/s")
            report.at_most(f"processor share at {size} routers", cpu, 1.2, "%")
            report.at_most(f"memory at {size} routers", memory, 256, "MB")
            report.series.setdefault("at rest", []).append((size, round(bytes_each)))
            if size == LOADED_SIZE:
                measure_load(report, deployment, seed)
    return report


def measure_idle(deployment: Deployment) -> tuple[float, float, float]:
    """Return mean bytes a second and CPU percent of a router, and the largest memory in MB."""
    time.sleep(2)
    routers = deployment.routers()
    before = total_control_bytes(deployment)
    cpu = [cpu_seconds(item.process.pid) for item in routers]
    began = time.monotonic()
    time.sleep(IDLE_S)
    elapsed_s = time.monotonic() - began
    used = [cpu_seconds(item.process.pid) - old for item, old in zip(routers, cpu, strict=True)]
    sent = total_control_bytes(deployment) - before
    memory = max(resident_mb(item.process.pid) for item in routers)
    count = len(routers)
    return sent / elapsed_s / count, sum(used) / elapsed_s / count * 100, memory


def total_control_bytes(deployment: Deployment, message_types=None) -> int:
    """Return the bytes of control messages of all routers, or those of `message_types`."""
    total = 0
    for counts in fleet_control_bytes(deployment).values():
        for name, amount in counts.items():
            wanted = (
                name in message_types
                if message_types
                else name not in (*EXCLUDED_TYPES, *REQUEST_TYPES)
            )
            total += amount if wanted else 0
    return total


def measure_load(report: Report, deployment: Deployment, seed: int) -> None:
    """Add the bytes of admission for each request, and of control traffic under load."""
    before_admission = total_control_bytes(deployment, REQUEST_TYPES)
    before_control = total_control_bytes(deployment)
    load = LoadGenerator(deployment, 24, tokens=20, seed=seed)
    load.start()
    began = time.monotonic()
    time.sleep(LOAD_S)
    load.stop()
    elapsed_s = time.monotonic() - began
    admission = total_control_bytes(deployment, REQUEST_TYPES) - before_admission
    control = total_control_bytes(deployment) - before_control
    served = len([item for item in load.results if item.complete])
    report.add("requests a second, 8 routers under load", served / elapsed_s, "1/s")
    report.add("admission bytes a request, both ends together", admission / max(1, served), "B")
    report.at_most(
        "control bytes under load, 8 routers",
        control / elapsed_s / len(deployment.routers()),
        2000,
        "B/s",
    )
