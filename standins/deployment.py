"""Start a complete deployment on the loopback interface: stand-ins and routers as processes.

The demo, the benchmarks and the process tests use it; it is not part of the product.
"""

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

import httpx

from standins.ports import reserve_port, reserve_ports

ROOT = Path(__file__).resolve().parent.parent
FLEET_KEY = "a-key-for-the-loopback-fleet"
OPERATOR_TOKEN = "a-token-for-the-loopback-operator"
READY_TIMEOUT_S = 30
MS_PER_SECOND = 1000


@dataclass(frozen=True)
class Shape:
    """The size of a deployment: zones, replicas per pool, plain services and routers."""

    zones: int
    pools: dict[str, int]
    services: tuple[str, ...] = ()
    routers: int = 2
    workspaces: tuple[str, ...] = ("wash-a", "wash-b")
    weight_store: bool = False


WASGOED = Shape(3, {"till": 6}, ("redeem", "wallet"), 6, tuple(f"laundry-{n}" for n in range(10)))
GLOBOS = Shape(
    4, {"assistant": 9, "orders": 4}, ("dispatch",), 6, tuple(f"shop-{n}" for n in range(10))
)


@dataclass
class ManagedProcess:
    """A process that the deployment started."""

    name: str
    process: subprocess.Popen
    port: int
    log: Path

    @property
    def url(self) -> str:
        """Return the base URL of the process's HTTP server."""
        return f"http://127.0.0.1:{self.port}"

    def signal(self, number: int) -> None:
        """Send a signal to the process if it is still running."""
        if self.process.poll() is None:
            os.kill(self.process.pid, number)


@dataclass
class Deployment:
    """The processes of a deployment, with clients for their APIs."""

    shape: Shape
    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp(prefix="skylarklift-")))
    settings: dict = field(default_factory=dict)
    engine_options: list[str] = field(default_factory=list)
    pool_options: dict = field(default_factory=dict)
    slots: int = 32
    processes: dict[str, ManagedProcess] = field(default_factory=dict)
    routing: dict = field(default_factory=dict)
    router_ports: dict[str, tuple[int, int, int]] = field(default_factory=dict)

    # Start-up.

    def start(self) -> None:
        """Start all processes and wait until the routers serve requests."""
        self.start_standins()
        for index in range(self.shape.routers):
            self.start_router(f"router-{index + 1}")
        self.wait_until(self._routers_up, "routers to be up")
        self.install_routing()
        self.wait_until(self._routers_serve, "routers to serve")

    def start_standins(self) -> None:
        """Start the platform, the engines, the plain services and the weight store."""
        self._start_standin("platform", "standins.platform", [])
        for pool, count in self.shape.pools.items():
            for index in range(count):
                name = f"{pool}-{index + 1}"
                options = ["--name", name, "--slots", str(self.slots), *self.engine_options]
                self._start_standin(name, "standins.engine", options)
        for service in self.shape.services:
            self._start_standin(service, "standins.service", [])
        if self.shape.weight_store:
            self._start_standin("weights", "standins.weights", [])
        self.wait_until(self._standins_up, "stand-ins to be up")
        self.routing = self._make_routing()

    def _make_routing(self) -> dict:
        """Return the routing configuration that names the started stand-ins."""
        zones = [f"zone-{index + 1}" for index in range(self.shape.zones)]
        pools = {}
        for pool, count in self.shape.pools.items():
            replicas = {
                f"{pool}-{index + 1}": {
                    "url": self.processes[f"{pool}-{index + 1}"].url,
                    "zone": zones[index % len(zones)],
                    "slots": self.slots,
                }
                for index in range(count)
            }
            options = {"ramp": {"start_slots": 4, "duration_ms": 1000}} | self.pool_options
            pools[pool] = {"models": [f"{pool}-model"], "replicas": replicas, **options}
        services = {
            name: {"upstreams": {name: {"url": self.processes[name].url, "zone": zones[0]}}}
            for name in self.shape.services
        }
        workspaces = {
            name: {"pools": list(pools), "services": list(services)}
            for name in self.shape.workspaces
        }
        return {
            "zones": {name: {} for name in zones},
            "pools": pools,
            "services": services,
            "workspaces": workspaces,
        }

    def start_router(self, name: str) -> ManagedProcess:
        """Write a router's settings file and start the router."""
        if name not in self.router_ports:
            self.router_ports[name] = tuple(reserve_ports(3))
        callers, operators, peers = self.router_ports[name]
        index = int(name.rsplit("-", 1)[1]) - 1
        settings = {
            "router": name,
            "zone": f"zone-{index % self.shape.zones + 1}",
            "callers": {"listen": {"port": callers}},
            "operators": {
                "listen": {"port": operators},
                "operators": [{"name": "anna", "token": OPERATOR_TOKEN}],
            },
            "peers": {"listen": {"port": peers}, "keys": [FLEET_KEY]},
            "store": {"url": self.processes["platform"].url},
            "telemetry": {"trace_file": ""},
        }
        for part, values in self.settings.items():
            settings[part] = {**settings.get(part, {}), **values}
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings, indent=1))
        command = ["-m", "skylarklift.daemon", "--settings", str(path)]
        return self._launch(name, command, callers)

    def _start_standin(self, name: str, module: str, options: list[str]) -> ManagedProcess:
        """Start a stand-in module on a free port."""
        port = reserve_port()
        return self._launch(name, ["-m", module, "--port", str(port), *options], port)

    def start_undelimited(self, name: str, script: str) -> ManagedProcess:
        """Start an upstream that answers without a length, as a script says."""
        started = self._start_standin(name, "standins.undelimited", ["--script", script])
        url = f"{started.url}/control"
        self.wait_until(lambda: httpx.get(url, trust_env=False).is_success, f"{name} to be up")
        return started

    def _launch(self, name: str, command: list[str], port: int) -> ManagedProcess:
        """Start a Python process whose output is appended to its log file."""
        log = self.folder / f"{name}.log"
        with log.open("a") as target:
            process = subprocess.Popen(
                [sys.executable, *command],
                cwd=ROOT,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
                stdout=target,
                stderr=target,
            )
        self.processes[name] = ManagedProcess(name, process, port, log)
        return self.processes[name]

    def restart_engine(self, name: str) -> ManagedProcess:
        """Start an engine again on its previous port."""
        old = self.processes[name]
        options = ["--port", str(old.port), "--name", name, "--slots", str(self.slots)]
        return self._launch(
            name, ["-m", "standins.engine", *options, *self.engine_options], old.port
        )

    # Waiting for conditions.

    def wait_until(self, condition, description: str, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Poll until a condition holds; raise `TimeoutError` after `timeout_s`."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            try:
                if condition():
                    return
            except (httpx.HTTPError, KeyError, TypeError):
                pass
            time.sleep(0.05)
        raise TimeoutError(f"timed out waiting for {description}; logs are in {self.folder}")

    def _standins_up(self) -> bool:
        """Return whether all stand-ins respond."""
        return all(
            httpx.get(f"{item.url}/control", trust_env=False).status_code == 200
            for item in self.processes.values()
        )

    def routers(self) -> list[ManagedProcess]:
        """Return the routers that are running."""
        found = [self.processes[name] for name in self.router_ports if name in self.processes]
        return [item for item in found if item.process.poll() is None]

    def _routers_up(self) -> bool:
        """Return whether every router is fresh and sees all routers as live."""
        status = self.status()
        routers = status["routers"].values()
        return len(routers) == self.shape.routers and all(
            item and item["fresh"] and len(item["live"]) == self.shape.routers for item in routers
        )

    def _routers_serve(self) -> bool:
        """Return whether every router has a configuration and every pool has an admitter."""
        routers = [item for item in self.status()["routers"].values() if item]
        pools = {pool["pool"] for item in routers for pool in item["pools"]}
        return pools == set(self.shape.pools) and all(
            item["version"] >= 1 and item["fresh"] for item in routers
        )

    # APIs of the routers and the stand-ins.

    def operator(self, router: str | None = None) -> httpx.Client:
        """Return an HTTP client of a router's operator API; by default of the first running one."""
        name = router or next(item.name for item in self.routers())
        return httpx.Client(
            base_url=f"http://127.0.0.1:{self.router_ports[name][1]}",
            headers={"Authorization": f"Bearer {OPERATOR_TOKEN}"},
            timeout=15,
            trust_env=False,
        )

    def status(self, router: str | None = None) -> dict:
        """Return the status of all routers as one router reports it."""
        with self.operator(router) as client:
            return client.get("/v1/status").json()

    def patch(self, patch, base: int | None = None, router: str | None = None) -> httpx.Response:
        """Submit a patch based on version `base`, or on the newest version without it."""
        with self.operator(router) as client:
            if base is None:
                base = client.get("/v1/configuration").json()["version"]
            return client.post("/v1/configuration/patches", json={"base": base, "patch": patch})

    def install_routing(self) -> None:
        """Submit the routing configuration as the first patch."""
        response = self.patch(self.routing)
        if response.status_code != 200:
            raise RuntimeError(f"routing configuration was rejected: {response.text}")

    def control(self, name: str, **changes) -> dict:
        """Set faults of a stand-in; without `changes`, return its state."""
        url = f"{self.processes[name].url}/control"
        if changes:
            return httpx.post(url, json=changes, trust_env=False).json()
        return httpx.get(url, trust_env=False).json()

    # Shutdown.

    def stop(self) -> None:
        """Terminate all processes, and kill those that do not end within 5 s in total."""
        for item in self.processes.values():
            item.signal(signal.SIGCONT)
            item.signal(signal.SIGTERM)
        end = time.monotonic() + 5
        for item in self.processes.values():
            try:
                item.process.wait(max(0.1, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                item.signal(signal.SIGKILL)
                item.process.wait()

    def __enter__(self) -> "Deployment":
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_) -> None:
        self.stop()
