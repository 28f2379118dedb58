"""The platform around routers: a store, replicas, and an operator who writes configurations."""

import json
from contextlib import AbstractContextManager, nullcontext
from functools import partial

import trio

from standins.replica import Replica
from standins.rows import RowStore, StoreDoor

HOST = "127.0.0.1"
SERVICES = [
    {
        "name": "lm",
        "health_check": "/healthz",
        "max_connections": 100,
        "cold_start_s": 0.0,
        "cold_per_s": 0.0,
        "runtime": {"slots": 64},
    },
    {"name": "till", "health_check": "/healthz", "max_connections": 100},
]
ROUTES = {
    "/chat/": {"route_type": "streaming", "service": "lm", "stream_resume": True},
    "/once/": {"route_type": "streaming", "service": "lm", "stream_resume": False},
    "/redeem/": {"route_type": "non_idempotent", "service": "till"},
    "/check/": {"route_type": "idempotent", "service": "till"},
}
ROUTE_DEFAULTS = {
    "hostname": "app.example",
    "timeout_ms": 4000,
    "goal_ms": 500,
    "priority": 1,
    "max_attempts": 2,
    "session_affinity": True,
}


class PlatformWorld:
    """A store with a door for each router, and replicas that list themselves there."""

    def __init__(self, nursery: trio.Nursery):
        self.nursery = nursery
        self.store = RowStore()
        self.doors: list[tuple[StoreDoor, int]] = []
        self.replicas: dict[str, Replica] = {}
        self.ports: dict[str, int] = {}
        self._scopes: dict[str, trio.CancelScope] = {}
        self.listeners: dict[str, trio.SocketListener] = {}
        self.keys = ["key-1"]
        self.plan_version = 0
        self.service_plans = SERVICES
        self._beats = 0
        # Addresses that stand before replicas, such as those of proxies.
        self.fronts: dict[str, int] = {}
        self.services: dict[str, str] = {}

    def host_of(self, name: str) -> str:
        """Return the IP number that a part of the platform has."""
        return HOST

    def placed(self, name: str) -> AbstractContextManager:
        """Return a block whose sockets and tasks belong to the host of a part."""
        return nullcontext()

    async def listen(self, name: str, handler, port: int = 0) -> int:
        """Serve an address under a name; return its port."""
        with self.placed(name):
            (listener,) = await trio.open_tcp_listeners(port, host=self.host_of(name))
            self._scopes[name] = trio.CancelScope()
            self.listeners[name] = listener
            self.nursery.start_soon(self._serve, handler, listener, self._scopes[name])
        return listener.socket.getsockname()[1]

    async def _serve(self, handler, listener, scope) -> None:
        """Serve until the scope is cancelled."""
        with scope:
            await trio.serve_listeners(
                partial(self._isolate, handler), [listener], handler_nursery=self.nursery
            )

    @staticmethod
    async def _isolate(handler, stream) -> None:
        """Serve one connection; one that breaks ends only itself."""
        try:
            await handler(stream)
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            # Routers are killed in these tests; their connections break.
            stream.socket.close()

    async def open_door(self) -> StoreDoor:
        """Open one more address of the store."""
        door = StoreDoor(self.store)
        port = await self.listen(f"door-{len(self.doors)}", door.serve)
        self.doors.append((door, port))
        return door

    def make_replica(self, name: str) -> Replica:
        """Return a replica that is not started yet."""
        return Replica(name)

    def write_plan(self, **changes) -> None:
        """Write the next configuration as the operator would."""
        self.plan_version += 1
        routes = [
            {**ROUTE_DEFAULTS, "name": prefix, "prefix": prefix, **fields, **changes}
            for prefix, fields in ROUTES.items()
        ]
        value = {
            "version": self.plan_version,
            "routes": routes,
            "services": self.service_plans,
            "limits": {"idle_timeout_ms": 15000},
            "tenants": [{"name": "w1", "api_keys": self.keys}],
        }
        self.store.write("op", "config", json.dumps(value).encode())

    async def add_replica(self, name: str, service: str, zone: str = "za") -> Replica:
        """Start a replica and list it."""
        replica = self.make_replica(name)
        self.replicas[name] = replica
        self.services[name] = service
        self.ports[name] = await self.listen(name, replica.serve, self.ports.get(name, 0))
        self.list_replica(name, service, zone)
        return replica

    def list_replica(self, name: str, service: str, zone: str = "za", **fields) -> None:
        """Write what a replica says of itself."""
        self._beats += 1
        value = {
            "service": service,
            "address": f"{self.host_of(name)}:{self.fronts.get(name, self.ports[name])}",
            "zone": zone,
            "slots": 64,
            "state": "ready",
            "cold_remaining_ms": 0,
            "born": 1,
            "sequence": self._beats,
            **fields,
        }
        self.store.write("servers", name, json.dumps(value).encode())

    def shut(self, name: str) -> None:
        """Take no new connections for a replica; those that are open stay."""
        self._scopes[name].cancel()
        self.listeners[name].socket.close()

    def stop_replica(self, name: str) -> None:
        """End a replica as a crash does; its entry stays."""
        self.shut(name)
        self.replicas[name].drop_links()

    async def restart_replica(self, name: str, born: int) -> None:
        """Start a replica again at its address; it knows nothing of before."""
        replica = self.replicas[name]
        self.ports[name] = await self.listen(name, replica.serve, self.ports[name])
        self.list_replica(name, self.services[name], born=born)
