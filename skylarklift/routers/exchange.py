"""Exchange with the other routers: probes, evidence, suspicions, newer versions.

Each router asks its ring successor and one random other router in every interval.
A question and its answer carry the numbers in force, so that whichever side is
behind fetches what it lacks.  A new version is announced at once by the same
question to several routers.
"""

import random
from functools import partial

import trio

from skylarklift.clock import MS_PER_SECOND, Clock, sleep_ms
from skylarklift.config.heads import HeadKeeper
from skylarklift.errors import PatchError, PeerError, PeerUnreachable, StoreError
from skylarklift.generated import (
    Address,
    Done,
    Fetch,
    FetchReply,
    Member,
    Prepare,
    Prepared,
    Pull,
    PullReply,
    Suspicions,
    Withdraw,
)
from skylarklift.ids import RouterId
from skylarklift.logger import FAILURES
from skylarklift.routers.membership import Membership
from skylarklift.routers.peers import Peers
from skylarklift.routers.views import ViewChanger
from skylarklift.store.base import MachineList
from skylarklift.votes.freshness import FRESHNESS_NAME, Freshness, HeadNumbers, Vouch
from skylarklift.votes.lease import VoterSets

FULL_FAN_OUT = 16
RUMOUR_FAN_OUT = 4
FETCH_TIMEOUT_MS = 5000
PULL_JITTER = 0.2
YOUNG_SHARE = 0.5
PULLS_SKIPPED = 4
MAINTAIN_INTERVAL_MS = 1000


class Exchange:
    """This router's exchange with the others."""

    def __init__(
        self,
        clock: Clock,
        me: RouterId,
        membership: Membership,
        peers: Peers,
        heads: HeadKeeper,
        views: ViewChanger,
        freshness: Freshness,
        voters: VoterSets,
        machines: MachineList,
    ):
        self._clock = clock
        self._me = me
        self._membership = membership
        self._peers = peers
        self._heads = heads
        self._views = views
        self._freshness = freshness
        self._voters = voters
        self._machines = machines
        self._announcing = trio.Event()
        self._fetching = trio.Lock()
        self.leaving = False
        self._skipped_pulls = 0
        heads.on_change.append(self._take_view)
        self._seeds = {
            RouterId(f"{seed.host}:{seed.port}"): seed for seed in peers.identity.cfg.seeds
        }
        peers.set_addresses(self._seeds)
        heads.announce = self._announce
        heads.prepare = self.prepare
        heads.withdraw = self.withdraw

    def _take_view(self) -> None:
        """Take over the members of the view and their addresses."""
        view = self._heads.view
        members = {RouterId(name): member for name, member in view.members.items()}
        self._membership.change_view(view.number, members)
        self._peers.set_addresses(
            {name: Address(host=item.host, port=item.port) for name, item in members.items()}
        )

    def _announce(self) -> None:
        """Wake the announcing task."""
        self._announcing.set()

    # Tasks.

    async def run(self) -> None:
        """Exchange until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_pulls)
            nursery.start_soon(self._run_announcements)
            nursery.start_soon(self._run_maintenance)

    async def _run_pulls(self) -> None:
        """Ask the successor and a random router in every interval."""
        interval = self._peers.identity.cfg.pull_interval_ms
        async with trio.open_nursery() as nursery:
            while True:
                for router in self._pull_targets():
                    nursery.start_soon(self._probe, router)
                self._vouch_for_self()
                await sleep_ms(interval * random.uniform(1 - PULL_JITTER, 1 + PULL_JITTER))

    def _pull_targets(self) -> list[RouterId]:
        """Return whom to ask now; while the store is away, the freshness voters too."""
        if not self._membership.members:
            # The view is not known yet, so any seed may tell it.
            return random.sample(list(self._seeds), min(1, len(self._seeds)))
        targets = dict.fromkeys(self._membership.probe_targets())
        others = self._membership.others()
        if others and self._needs_random_pull():
            targets[random.choice(others)] = None
        if self._heads.store_away:
            voters = self._freshness_voters()
            if self._me in voters:
                targets.update(dict.fromkeys(voters))
        targets.pop(self._me, None)
        return list(targets)

    def _needs_random_pull(self) -> bool:
        """Tell whether to ask a random router too.

        A router whose evidence is young only needs the exchange of suspicions, and
        that less often.
        """
        age_ms = self._freshness.evidence_age_ms()
        young = 0 <= age_ms < self._freshness.fresh_for_ms * YOUNG_SHARE
        self._skipped_pulls += 1
        if young and self._skipped_pulls < PULLS_SKIPPED:
            return False
        self._skipped_pulls = 0
        return True

    def _freshness_voters(self) -> list[RouterId]:
        """Return every voter that the freshness rule may need now."""
        found: dict[RouterId, None] = {}
        for voters in self._voters.required(FRESHNESS_NAME):
            found.update(dict.fromkeys(voters))
        return list(found)

    def _vouch_for_self(self) -> None:
        """Count this router's own vouch."""
        vouch = Vouch(self._heads.heads(), self._heads.store_away, self._heads.watch.is_pending())
        self._freshness.see_vouch(self._clock.now(), self._me, vouch)

    async def _run_announcements(self) -> None:
        """Tell others of each new version at once."""
        while True:
            await self._announcing.wait()
            self._announcing = trio.Event()
            others = self._membership.others()
            if len(others) > FULL_FAN_OUT:
                others = random.sample(others, RUMOUR_FAN_OUT)
            async with trio.open_nursery() as nursery:
                for router in others:
                    nursery.start_soon(self._probe, router)

    async def _run_maintenance(self) -> None:
        """Enter this router into the view when it is missing; remove dead members."""
        while True:
            await sleep_ms(MAINTAIN_INTERVAL_MS * random.uniform(0.5, 1.5))
            try:
                await self.maintain()
            except (StoreError, PatchError, PeerError) as exc:
                FAILURES.record("view_not_corrected", exc)

    async def maintain(self) -> None:
        """Correct the view once."""
        if self.leaving:
            return
        if not self.is_member():
            await self._views.join(self._me, self.own_member())
        gone = self._membership.to_remove()
        if gone:
            await self._views.remove(gone)

    def is_member(self) -> bool:
        """Tell whether this boot of this router is in the view."""
        known = self._heads.view.members.get(self._me)
        return known is not None and known.boot == self._peers.identity.boot

    def own_member(self) -> Member:
        """Return this router's entry of the view."""
        identity = self._peers.identity
        address = identity.cfg.advertise or identity.cfg.listen
        return Member(host=address.host, port=address.port, zone=identity.zone, boot=identity.boot)

    # Asking.

    async def _probe(self, router: RouterId) -> None:
        """Ask one router and note whether it answers."""
        try:
            await self.pull(router)
        except PeerError as exc:
            FAILURES.record("probe_failed", exc, router=router)
            self._membership.miss(router, refused=isinstance(exc, PeerUnreachable))
        except (StoreError, PatchError) as exc:
            FAILURES.record("fetch_failed", exc, router=router)

    async def pull(self, router: RouterId) -> None:
        """Ask one router for its numbers, take its evidence, fetch what is newer."""
        heads = self._heads.heads()
        asked_at = self._clock.now()
        question = Pull(0, heads.version, heads.view, self._membership.digest())
        reply = await self._peers.call(router, question)
        if not isinstance(reply, PullReply):
            raise PeerError("not an answer to a pull")
        self._membership.hear(router)
        found = HeadNumbers(reply.version, reply.view)
        self._freshness.see_peer(asked_at, found, reply.evidence_age_ms)
        self._freshness.see_vouch(asked_at, router, Vouch(found, reply.store_away, reply.pending))
        if reply.digest != self._membership.digest() and found.view == heads.view:
            await self._exchange_suspicions(router)
        if found.is_newer_than(self._heads.heads()):
            await self.fetch(router)

    async def _exchange_suspicions(self, router: RouterId) -> None:
        """Send all suspicions and take the other router's."""
        reply = await self._peers.call(router, Suspicions(0, self._membership.entries()))
        if isinstance(reply, Suspicions):
            self._membership.take_entries(reply.entries)

    async def fetch(self, router: RouterId) -> None:
        """Take newer versions from a router."""
        async with self._fetching:
            heads = self._heads.heads()
            message = Fetch(0, heads.version, heads.view)
            asked_at = self._clock.now()
            reply = await self._peers.call(router, message, FETCH_TIMEOUT_MS)
            if isinstance(reply, FetchReply):
                self._heads.take_fetch(asked_at, reply)

    async def prepare(self, announced: HeadNumbers) -> bool:
        """Tell the freshness voters of an acceptance; tell whether majorities agreed."""
        agreed: set[RouterId] = set()
        absent = await self._absent_hosts()

        async def ask(router: RouterId) -> None:
            if await self._ask_prepare(router, announced, absent):
                agreed.add(router)

        async with trio.open_nursery() as nursery:
            for router in self._freshness_voters():
                nursery.start_soon(ask, router)
        return all(
            2 * len(agreed.intersection(voters)) > len(voters)
            for voters in self._voters.required(FRESHNESS_NAME)
        )

    async def _ask_prepare(
        self, router: RouterId, announced: HeadNumbers, absent: set[str]
    ) -> bool:
        """Ask one voter; one that is surely dead needs no asking."""
        if router == self._me:
            return self._heads.watch.prepare(announced, self._heads.heads())
        message = Prepare(0, announced.version, announced.view)
        try:
            reply = await self._peers.call(router, message)
        except PeerUnreachable:
            return await self._is_dead(router, absent)
        except PeerError as exc:
            FAILURES.record("prepare_failed", exc, router=router)
            member = self._membership.members.get(router)
            return member is not None and member.host in absent
        return isinstance(reply, Prepared) and reply.agreed

    async def _is_dead(self, router: RouterId, absent: set[str]) -> bool:
        """Tell whether a router's process is surely gone.

        An address that refuses connections has no process behind it, whereas a
        frozen or parted router gives no answer at all.
        """
        member = self._membership.members.get(router)
        if member is None:
            return False
        if member.host in absent:
            return True
        with trio.move_on_after(self._peers.identity.cfg.call_timeout_ms / MS_PER_SECOND):
            try:
                stream = await trio.open_tcp_stream(member.host, member.port)
            except OSError as exc:
                return _was_refused(exc)
            await trio.aclose_forcefully(stream)
        return False

    async def _absent_hosts(self) -> set[str]:
        """Return the hosts of members that the platform's VM list no longer has."""
        try:
            listed = {machine.host for machine in await self._machines.machines()}
        except StoreError as exc:
            # Without the list no router counts as surely gone.
            FAILURES.record("machines_not_read", exc)
            return set()
        hosts = {member.host for member in self._membership.members.values()}
        return hosts - listed if listed else set()

    async def withdraw(self, announced: HeadNumbers) -> None:
        """Tell the voters that an acceptance did not come about."""
        self._heads.watch.withdraw(announced)
        message = partial(Withdraw, 0, announced.version, announced.view)

        async def tell(router: RouterId) -> None:
            try:
                await self._peers.call(router, message())
            except PeerError as exc:
                FAILURES.record("withdrawal_not_told", exc, router=router)

        async with trio.open_nursery() as nursery:
            for router in self._freshness_voters():
                if router != self._me:
                    nursery.start_soon(tell, router)

    # Answering.

    async def answer_pull(self, router: RouterId, message: Pull) -> PullReply:
        """Answer with our numbers; fetch in turn when the asking router has newer ones."""
        self._membership.hear(router)
        asked = HeadNumbers(message.version, message.view)
        self._freshness.hear_of(asked)
        if asked.is_newer_than(self._heads.heads()):
            try:
                await self.fetch(router)
            except (PeerError, PatchError) as exc:
                FAILURES.record("fetch_failed", exc, router=router)
        heads = self._heads.heads()
        return PullReply(
            0,
            heads.version,
            heads.view,
            self._membership.digest(),
            self._freshness.evidence_age_ms(),
            self._heads.store_away,
            self._heads.watch.is_pending(),
        )

    async def answer_suspicions(self, router: RouterId, message: Suspicions) -> Suspicions:
        """Exchange suspicions."""
        self._membership.take_entries(message.entries)
        return Suspicions(0, self._membership.entries())

    async def answer_fetch(self, router: RouterId, message: Fetch) -> FetchReply:
        """Send what the other router lacks."""
        return self._heads.fetch_reply(message.version, message.view)

    async def answer_prepare(self, router: RouterId, message: Prepare) -> Prepared:
        """Stop vouching for what is about to be replaced."""
        announced = HeadNumbers(message.version, message.view)
        return Prepared(0, self._heads.watch.prepare(announced, self._heads.heads()))

    async def answer_withdraw(self, router: RouterId, message: Withdraw) -> Done:
        """Vouch again."""
        self._heads.watch.withdraw(HeadNumbers(message.version, message.view))
        return Done(0)


def _was_refused(exc: OSError) -> bool:
    """Tell whether an attempt to connect was refused, also inside trio's collected error."""
    causes = [exc, exc.__cause__]
    group = exc.__cause__
    if isinstance(group, BaseExceptionGroup):
        causes += list(group.exceptions)
    return any(isinstance(cause, ConnectionRefusedError) for cause in causes)
