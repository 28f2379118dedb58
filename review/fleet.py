"""What the cases share: routers as separate processes, replicas with a version, a record."""

import json
import os
import signal
import subprocess
import sys
import time
import zlib
from dataclasses import dataclass
from pathlib import Path

import trio

from standins.entry_world import ROOT, EntryWorld, Response, RouterProcess
from standins.platform_world import HOST
from standins.replica import MS_PER_SECOND, Replica

# Python ends with 1 at any error, so a broken rule has another code, which run.sh turns into 1.
HELD, BROKEN, NOT_RUN = 0, 10, 2
# A case that has not ended by then has failed; its processes are ended.
LIMIT_S = 100
# The processes that this case has started.
STARTED: list[subprocess.Popen] = []
# The chats of each run are others.
RUN = os.urandom(4).hex()
# As in the settings of a small deployment, where they are not addresses.
SETTINGS = {
    "role": "entry-router",
    "machine_class": "edge",
    "serves": "edge,control",
    "zone": "za",
    "region": "r1",
    "zones.za": "r1",
    "bootstrap": "true",
    "fault_counted": "false",
    "limits.memory_mb": "300",
    "limits.max_fds": "4100",
    "discovery": "platform",
    "entry": "anycast",
    "heartbeat_ms": "1200",
    "bounds.stable_ms": "3000",
    "bounds.drain_ms": "2000",
    "bounds.grace_s": "8",
    "bounds.loss_slack_ms": "200",
    "bounds.config_apply_ms": "2000",
    "bounds.retry_budget_ratio": "0.2",
    "bounds.budget_window_s": "10",
    "bounds.budget_extra": "56",
    "bounds.cold_overshoot": "1.5",
    "bounds.cold_tolerance": "5",
    "bounds.cap_factor": "2",
    "platform.form": "table",
    "platform.writes_per_s": "400",
    "platform.reads_per_s": "2000",
    "platform.row_bytes": "65536",
}


def with_trouble() -> bool:
    """Return whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The lines of `record.txt`: what was sent, answered and run, with the time since the start."""

    def __init__(self, path: Path):
        self._file = path.open("w")
        self._started = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._started:8.3f} {text}\n")
        self._file.flush()

    def write_logs(self, fleet: "Fleet", events: tuple[str, ...]) -> None:
        """Write the lines of the routers' logs whose event begins with one of `events`."""
        for router in fleet.routers:
            for line in router.lines():
                if line["event"].startswith(events):
                    self.write(f"log of {router.name}: {json.dumps(line)}")


@dataclass
class VersionedReplica(Replica):
    """A replica whose events name the version of the software that made them.

    A stream has as many events as its path asks for: /chat/EVENTS/..., `pace_ms` apart.
    """

    software: str = "v1"
    record: Record | None = None

    async def _send_stream(self, caller, run) -> bool:
        """Send a stream of events; return whether the connection can be reused."""
        software, last = self.software, int(run.target.split("/")[2])
        first = run.first_event
        self.record.write(f"{self.name} {software} runs {run.request_id} from event {first}")
        await trio.sleep(self.pace_ms / MS_PER_SECOND)
        headers = [*self._response_headers(run), (b"content-type", b"text/event-stream")]
        await caller.send_head(200, headers)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_on_disconnect, caller, run, nursery.cancel_scope)
            for number in range(run.first_event, last + 1):
                await trio.sleep(self.pace_ms / MS_PER_SECOND)
                data = f"id: {number}\ndata: {self.name} {software} {number}\n\n"
                await caller.send_data(data.encode())
            run.completed = True
            nursery.cancel_scope.cancel()
        if not run.completed:
            return False
        await caller.send_end()
        return True


class Fleet(EntryWorld):
    """A small deployment: the program of the deploy file, with settings of the platform."""

    def __init__(self, nursery: trio.Nursery, folder: str, record: Record):
        super().__init__(nursery, folder)
        self.record = record

    pace_ms = 80
    # The seeds in the settings of the routers that are started next.
    seeds = ""

    def make_replica(self, name: str) -> VersionedReplica:
        """Create a replica without starting it."""
        return VersionedReplica(name, pace_ms=self.pace_ms, record=self.record)

    def _start_process(self, settings: Path, log: Path) -> subprocess.Popen:
        """Start the process of a router, and remember it."""
        process = super()._start_process(settings, log)
        STARTED.append(process)
        return process

    async def call(self, router: RouterProcess, target: str, **options) -> Response:
        """Send a request; without an answer return an empty response, or raise `OSError`."""
        try:
            return await super().call(router, target, **options)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return Response()

    def _launch(self, name: str, store_endpoint_index: int, peer_port: int) -> RouterProcess:
        """Write a router's settings file and start the router's process."""
        callers, readiness, control = (self.reserve_port() for _ in range(3))
        settings, log = self.folder / f"{name}.conf", self.folder / f"{name}.log"
        fields = {
            **SETTINGS,
            "node_name": name,
            "ip": HOST,
            "listen.frontend": f"{HOST}:{callers}",
            "listen.ready_addr": f"{HOST}:{readiness}",
            "listen.control_plane": f"{HOST}:{control}",
            "port_range": f"{peer_port},{peer_port}",
            "seeds": self.seeds,
            "platform.address": f"{HOST}:{self.store_endpoints[store_endpoint_index][1]}",
        }
        settings.write_text("".join(f"{key}={value}\n" for key, value in fields.items()))
        metrics = str(self.reserve_port())
        self.program = ("-m", "skylarklift.platform.daemon", "--metrics-port", metrics)
        process = self._start_process(settings, log)
        return RouterProcess(name, process, callers, readiness, settings, log)


def resume_options(first_try: str, made: list, deadline_ms: int, started: float) -> dict:
    """Return what a client sends with a try of a stream of which it has the events `made`."""
    left_ms = deadline_ms - int((trio.current_time() - started) * MS_PER_SECOND)
    number = zlib.crc32(f"{RUN} {first_try.partition('-')[0]}".encode())
    headers = {"x-prefix-hash": f"aa{number:08x}:500,bb{number:08x}:40,cc{number:08x}:10"}
    if made:
        headers.update({"last-event-id": made[-1][2], "resumes": first_try})
    return {"deadline_ms": left_ms, "headers": headers}


def end_processes() -> None:
    """End all processes that this case has started."""
    for process in STARTED:
        if process.poll() is None:
            process.kill()
            process.wait()


def _stop(_number, _frame) -> None:
    """End the processes and this one, as the case was told to stop or takes too long."""
    end_processes()
    os._exit(NOT_RUN)


def run_case(main) -> None:
    """Run a case's main function and exit with the code that it returns; 2 if it cannot run."""
    os.chdir(ROOT)
    for number in (signal.SIGTERM, signal.SIGALRM):
        signal.signal(number, _stop)
    signal.alarm(LIMIT_S)
    code = NOT_RUN
    try:
        code = trio.run(main)
    except* Exception as group:
        print(f"the case could not run: {group.exceptions!r}", file=sys.stderr)
    finally:
        end_processes()
    sys.exit(code)
