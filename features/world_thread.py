"""Real routers in a trio loop in a thread of its own, and helpers for the steps that use them."""

import tempfile
import threading

import trio

from skylarklift.upstreams.events import EventSplitter
from standins.entry_world import EntryWorld

START_STOP_LIMIT_S = 10


class WorldThread:
    """An `EntryWorld` in a trio loop of its own thread; steps run functions in that loop."""

    def __init__(self):
        self._started = threading.Event()
        self._thread = threading.Thread(target=trio.run, args=(self._main,), daemon=True)
        self._thread.start()
        assert self._started.wait(START_STOP_LIMIT_S)

    async def _main(self):
        self._token = trio.lowlevel.current_trio_token()
        self._stop_requested = trio.Event()
        with tempfile.TemporaryDirectory() as folder:
            async with trio.open_nursery() as nursery:
                self.world = EntryWorld(nursery, folder)
                self._started.set()
                await self._stop_requested.wait()
                self.world.stop()
                nursery.cancel_scope.cancel()

    def run(self, work, *args):
        """Run an async function in the loop and return its result."""
        return trio.from_thread.run(work, *args, trio_token=self._token)

    def run_sync(self, work, *args):
        """Run a plain function in the loop and return its result."""
        return trio.from_thread.run_sync(work, *args, trio_token=self._token)

    def close(self):
        self.run_sync(self._stop_requested.set)
        self._thread.join(START_STOP_LIMIT_S)


def send_request(context, target, router=None, **options):
    """Send one request as a caller and return the response."""

    async def send():
        return await context.world.call(router or context.router, target, **options)

    return context.thread.run(send)


def all_runs(context):
    return [run for replica in context.world.replicas.values() for run in replica.runs]


def replicas_by_name(context, names):
    return [context.world.replicas[name] for name in names.split(",")]


def event_ids(body):
    return [event.event_id for event in EventSplitter().feed(body)]
