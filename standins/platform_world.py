"""The platform of entry routers in a test: a store, replicas and the operator's configuration."""

import json
from collections.abc import Mapping
from contextlib import AbstractContextManager, nullcontext
from functools import partial
from types import MappingProxyType
from typing import Any

import trio

from standins.ports import HOST
from standins.replica import Replica
from standins.rows import RowStore, StoreEndpoint

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
    """A store with an endpoint for each router, and replicas registered in it."""

    def __init__(self, nursery: trio.Nursery):
        self.nursery = nursery
        self.store = RowStore()
        self.store_endpoints: list[tuple[StoreEndpoint, int]] = []
        self.replicas: dict[str, Replica] = {}
        self.ports: dict[str, int] = {}
        self._scopes: dict[str, trio.CancelScope] = {}
        self.listeners: dict[str, trio.SocketListener] = {}
        self.keys = ["key-1"]
        self.plan_version = 0
        self.service_plans = SERVICES
        self._heartbeats = 0
        # Ports of proxies in front of replicas; the store lists these instead of the own ports.
        self.proxy_ports: dict[str, int] = {}
        self.services: dict[str, str] = {}

    def host_of(self, name: str) -> str:
        """Return the IP address of a replica or store endpoint."""
        return HOST

    def on_host_of(self, name: str) -> AbstractContextManager:
        """Return a block whose sockets and tasks belong to the host of a replica or endpoint."""
        return nullcontext()

    async def listen(self, name: str, handler, port: int = 0) -> int:
        """Start a server under a name and return its port."""
        with self.on_host_of(name):
            (listener,) = await trio.open_tcp_listeners(port, host=self.host_of(name))
            self._scopes[name] = trio.CancelScope()
            self.listeners[name] = listener
            self.nursery.start_soon(self._serve, handler, listener, self._scopes[name])
        return listener.socket.getsockname()[1]

    async def _serve(self, handler, listener, scope) -> None:
        """Serve until the scope is cancelled."""
        with scope:
            await trio.serve_listeners(
                partial(self._serve_connection, handler), [listener], handler_nursery=self.nursery
            )

    @staticmethod
    async def _serve_connection(handler, stream) -> None:
        """Serve one connection, containing the errors of a broken one."""
        try:
            await handler(stream)
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            # The tests kill routers, which breaks their connections.
            stream.socket.close()

    async def open_store_endpoint(self) -> StoreEndpoint:
        """Open another endpoint of the store."""
        door = StoreEndpoint(self.store)
        port = await self.listen(f"store-endpoint-{len(self.store_endpoints)}", door.serve)
        self.store_endpoints.append((door, port))
        return door

    def make_replica(self, name: str) -> Replica:
        """Create a replica without starting it."""
        return Replica(name)

    def write_plan(self, top_level: Mapping[str, Any] = MappingProxyType({}), **changes) -> None:
        """Write the next version of the configuration to the store, as the operator would.

        `changes` are fields that are set in all routes, `top_level` those beside the routes; a
        field with `None` is left out.
        """
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
            **top_level,
        }
        value = {name: item for name, item in value.items() if item is not None}
        self.store.write("op", "config", json.dumps(value).encode())

    async def add_replica(self, name: str, service: str, zone: str = "za") -> Replica:
        """Start a replica and register it in the store."""
        replica = self.make_replica(name)
        self.replicas[name] = replica
        self.services[name] = service
        self.ports[name] = await self.listen(name, replica.serve, self.ports.get(name, 0))
        self.register_replica(name, service, zone)
        return replica

    def register_replica(self, name: str, service: str, zone: str = "za", **fields) -> None:
        """Write a replica's own entry to the store, as its heartbeat does.

        The entry changes only if more than its sequence number does.
        """
        self._heartbeats += 1
        value = {
            "service": service,
            "address": f"{self.host_of(name)}:{self.proxy_ports.get(name, self.ports[name])}",
            "zone": zone,
            "slots": 64,
            "state": "ready",
            "cold_remaining_ms": 0,
            "born": 1,
            "version": "v1",
            "sequence": self._heartbeats,
            **fields,
        }
        stored = self.store.tables.get("servers", {}).get(name)
        if stored is not None and stored.data is not None:
            if {**json.loads(stored.data), "sequence": self._heartbeats} == value:
                return
        self.store.write("servers", name, json.dumps(value).encode())

    def stop_accepting(self, name: str) -> None:
        """Refuse new connections to a replica; open connections stay."""
        self._scopes[name].cancel()
        self.listeners[name].socket.close()

    def stop_replica(self, name: str) -> None:
        """Stop a replica as a crash would; its entry stays in the store."""
        self.stop_accepting(name)
        self.replicas[name].close_connections()

    async def restart_replica(self, name: str, born: int) -> None:
        """Start a replica again on its port and register it with the start number `born`."""
        replica = self.replicas[name]
        replica.born = born
        self.ports[name] = await self.listen(name, replica.serve, self.ports[name])
        self.register_replica(name, self.services[name], born=born)
