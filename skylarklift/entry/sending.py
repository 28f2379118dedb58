"""One send of a request to one upstream, up to the head of its answer."""

from contextlib import asynccontextmanager

import trio

from skylarklift.entry.attempts import Outcome
from skylarklift.entry.choose import Choice
from skylarklift.entry.core import Core, Probe
from skylarklift.entry.health import HealthSignal
from skylarklift.entry.link import FOREIGN_ANSWERS, Link, connect
from skylarklift.entry.model import Call, ResponseHead, SendOptions
from skylarklift.errors import AnswerBroken, AnswerInvalid, ConnectFailed, LinkError

PROBE_TIMEOUT_MS = 250
PROBE_AGE_MS = 300
SUCCESSES = range(200, 300)
SERVER_ERRORS = range(500, 600)


class Send:
    """A request on its way to one upstream; `outcome` tells how it ended."""

    def __init__(
        self, core: Core, call: Call, choice: Choice, terms: SendOptions, *, repeatable: bool
    ):
        self.core = core
        self.call = call
        self.choice = choice
        self.record = choice.upstream.record
        self.terms = terms
        self.repeatable = repeatable
        self.link: Link | None = None
        self.head: ResponseHead | None = None
        self.outcome = Outcome.NOT_SENT
        self.detail = ""
        self._done = False

    @asynccontextmanager
    async def open(self):
        """Count the request in for the time of the block; close its connection after."""
        core = self.core
        core.chooser.start_request(self.choice, self.call)
        try:
            yield self
        finally:
            core.chooser.end_request(self.record.replica)
            core.health.end_trial(self.record.replica)
            if self.link is not None and not self._done:
                self.link.abort()

    async def start(self) -> ResponseHead:
        """Send the request and return the head of its answer; raise `LinkError`."""
        self.link = await self.core.connection_pool.take(self.record, recent=not self.repeatable)
        self.outcome = Outcome.BROKEN
        call = self.call
        headers = self.core.header_codec.encode_send(call, self.terms)
        await self.link.send(call.method, call.target, headers, call.body)
        if not self.link.has_rest:
            self.head = await self._read_head()
            return self.head
        failure: LinkError | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.link.send_rest)
            try:
                self.head = await self._read_head()
            except LinkError as exc:
                failure = exc
            nursery.cancel_scope.cancel()
        if failure is not None:
            raise failure
        return self.head

    async def _read_head(self) -> ResponseHead:
        """Return the head of the answer that belongs to the request."""
        for _ in range(FOREIGN_ANSWERS):
            status, headers = await self.link.read_head()
            head = self.core.header_codec.decode_answer(status, headers)
            if head.request is None or head.request == self.call.request:
                return self._checked(head)
            self.core.event_log.write(
                "foreign_answer", id=self.call.request, upstream=self.record.replica
            )
            await self.link.skip_answer()
        raise AnswerInvalid("only answers to other requests came")

    def _checked(self, head: ResponseHead) -> ResponseHead:
        """Return a head that may be passed on."""
        if head.cold_ms:
            self.core.cluster_state.apply_reported_cold_time(self.record.replica, head.cold_ms)
        if head.status in SUCCESSES and (not head.signed or head.encoded):
            raise AnswerInvalid(f"status {head.status} that the upstream does not vouch for")
        return head

    def classify(self) -> Outcome:
        """Return what the head of the answer means for the request."""
        head = self.head
        if head.not_run or head.moved:
            self.outcome = Outcome.NOT_RUN
        elif head.status in SERVER_ERRORS:
            self.outcome = Outcome.FAILED
        else:
            self.outcome = Outcome.ANSWERED
        return self.outcome

    def finish(self) -> None:
        """Keep the connection for another request, after a complete answer."""
        self._done = True
        self.core.connection_pool.give(self.record.replica, self.link, self.head.keep_ms)

    def note(self, sign: HealthSignal) -> None:
        """Take in what the send showed of its upstream."""
        core = self.core
        if sign is HealthSignal.GOOD and core.health.maybe_restarted(self.record.replica):
            core.cluster_state.restart_cold_period(self.record.replica)
        others = [
            item.record.replica for item in core.cluster_state.upstreams_of(self.record.service)
        ]
        if core.health.record_result(self.record.replica, sign, others):
            core.connection_pool.drop(self.record.replica)
            core.metrics.count("ejections")
            core.event_log.write(
                "upstream_ejected",
                upstream=self.record.replica,
                sign=sign.value,
                id=self.call.request,
            )

    def fail(self, exc: LinkError) -> None:
        """Take in that the connection or the answer failed."""
        self.detail = str(exc)
        if isinstance(exc, ConnectFailed):
            self.outcome = Outcome.NOT_SENT
            self.note(HealthSignal.UNREACHABLE)
        else:
            self.outcome = Outcome.BROKEN
            self.note(HealthSignal.BROKEN if isinstance(exc, AnswerBroken) else HealthSignal.FAILED)


async def reaches(core: Core, send: Send) -> bool:
    """Tell whether an upstream that is silent or broke off still takes connections."""
    record = send.record
    known = core.probes.get(record.replica)
    if known is not None and core.clock.now() - known.probed_at < PROBE_AGE_MS:
        return known.alive
    try:
        stream = await connect(record.host, record.port, PROBE_TIMEOUT_MS)
        stream.socket.close()
        alive = True
    except ConnectFailed as exc:
        send.detail = f"{send.detail}; {exc}"
        send.note(HealthSignal.UNREACHABLE)
        alive = False
    core.probes[record.replica] = Probe(core.clock.now(), alive)
    return alive
