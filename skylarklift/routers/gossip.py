"""Gossip with the other routers: probes, freshness evidence, suspicions, new versions.

In every interval a router sends `Pull` to its ring successor and, where needed, to
one random other router.  `Pull` and `PullReply` carry the sender's configuration
version and view number, so that whichever side is behind fetches the newer ones.  A
router that installs a new version announces it at once by a `Pull` to several routers.
"""

import random
from functools import partial

import trio

from skylarklift.clock import MS_PER_SECOND, Clock, sleep_ms
from skylarklift.config.heads import HeadManager
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
from skylarklift.routers.peers import PeerTransport
from skylarklift.routers.views import ViewChanger
from skylarklift.store.base import VMList
from skylarklift.votes.freshness import FRESHNESS_NAME, Freshness, HeadNumbers, Vouch
from skylarklift.votes.lease import VoterSets

# A new version is announced to all other routers up to this number, else to a random sample.
MAX_BROADCAST_ROUTERS = 16
ANNOUNCEMENT_FAN_OUT = 4
FETCH_TIMEOUT_MS = 5000
PULL_JITTER = 0.2
# Evidence younger than this fraction of `fresh_for_ms` needs no random pull.
RECENT_EVIDENCE_FRACTION = 0.5
RANDOM_PULL_EVERY_INTERVALS = 4
VIEW_CHECK_INTERVAL_MS = 1000


class Gossip:
    """The gossip tasks of one router and its answers to other routers' messages."""

    def __init__(
        self,
        clock: Clock,
        me: RouterId,
        membership: Membership,
        peers: PeerTransport,
        heads: HeadManager,
        views: ViewChanger,
        freshness: Freshness,
        voters: VoterSets,
        vm_list: VMList,
    ):
        self._clock = clock
        self._me = me
        self._membership = membership
        self._peers = peers
        self._heads = heads
        self._views = views
        self._freshness = freshness
        self._voters = voters
        self._vm_list = vm_list
        self._announcement_due = trio.Event()
        self._fetch_lock = trio.Lock()
        self.leaving = False
        self._intervals_since_random_pull = 0
        heads.on_change.append(self._apply_view)
        self._seeds = {
            RouterId(f"{seed.host}:{seed.port}"): seed for seed in peers.identity.cfg.seeds
        }
        peers.set_addresses(self._seeds)
        heads.announce = self._request_announcement
        heads.prepare = self.prepare
        heads.withdraw = self.withdraw

    def _apply_view(self) -> None:
        """Apply the members and addresses of the installed view."""
        view = self._heads.view
        members = {RouterId(name): member for name, member in view.members.items()}
        self._membership.apply_view(view.number, members)
        self._peers.set_addresses(
            {name: Address(host=item.host, port=item.port) for name, item in members.items()}
        )

    def _request_announcement(self) -> None:
        """Wake the announcement task."""
        self._announcement_due.set()

    # Tasks.

    async def run(self) -> None:
        """Run all gossip tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_pulls)
            nursery.start_soon(self._run_announcements)
            nursery.start_soon(self._run_view_corrections)

    async def _run_pulls(self) -> None:
        """Probe the pull targets in every interval until cancelled."""
        interval = self._peers.identity.cfg.pull_interval_ms
        async with trio.open_nursery() as nursery:
            while True:
                for router in self._pull_targets():
                    nursery.start_soon(self._probe, router)
                self._record_own_vouch()
                await sleep_ms(interval * random.uniform(1 - PULL_JITTER, 1 + PULL_JITTER))

    def _pull_targets(self) -> list[RouterId]:
        """Return the routers to probe in this interval.

        While the store is unavailable, a freshness voter also probes the other
        freshness voters, because only their vouches can then give new evidence.
        """
        if not self._membership.members:
            # The view is not known yet; any seed can send it.
            return random.sample(list(self._seeds), min(1, len(self._seeds)))
        targets = dict.fromkeys(self._membership.probe_targets())
        others = self._membership.live_peers()
        if others and self._needs_random_pull():
            targets[random.choice(others)] = None
        if self._heads.store_away:
            voters = self._freshness_voters()
            if self._me in voters:
                targets.update(dict.fromkeys(voters))
        targets.pop(self._me, None)
        return list(targets)

    def _needs_random_pull(self) -> bool:
        """Return whether to probe a random router too.

        While the evidence is recent, random probes only spread suspicions, so they
        are sent in every `RANDOM_PULL_EVERY_INTERVALS`th interval.
        """
        age_ms = self._freshness.evidence_age_ms()
        is_recent = 0 <= age_ms < self._freshness.fresh_for_ms * RECENT_EVIDENCE_FRACTION
        self._intervals_since_random_pull += 1
        if is_recent and self._intervals_since_random_pull < RANDOM_PULL_EVERY_INTERVALS:
            return False
        self._intervals_since_random_pull = 0
        return True

    def _freshness_voters(self) -> list[RouterId]:
        """Return the freshness voters of all voter sets that are required now."""
        found: dict[RouterId, None] = {}
        for voters in self._voters.required_sets(FRESHNESS_NAME):
            found.update(dict.fromkeys(voters))
        return list(found)

    def _record_own_vouch(self) -> None:
        """Record this router's own vouch, which counts towards the majority."""
        vouch = Vouch(
            self._heads.numbers(),
            self._heads.store_away,
            self._heads.acceptance_tracker.is_pending(),
        )
        self._freshness.record_vouch(self._clock.now(), self._me, vouch)

    async def _run_announcements(self) -> None:
        """Announce each newly installed version at once, until cancelled."""
        while True:
            await self._announcement_due.wait()
            self._announcement_due = trio.Event()
            others = self._membership.live_peers()
            if len(others) > MAX_BROADCAST_ROUTERS:
                others = random.sample(others, ANNOUNCEMENT_FAN_OUT)
            async with trio.open_nursery() as nursery:
                for router in others:
                    nursery.start_soon(self._probe, router)

    async def _run_view_corrections(self) -> None:
        """Correct the view periodically until cancelled."""
        while True:
            await sleep_ms(VIEW_CHECK_INTERVAL_MS * random.uniform(0.5, 1.5))
            try:
                await self.correct_view()
            except (StoreError, PatchError, PeerError) as exc:
                FAILURES.record("view_correction_failed", exc)

    async def correct_view(self) -> None:
        """Add this router to the view if it is missing and remove failed members."""
        if self.leaving:
            return
        if not self.is_member():
            await self._views.join(self._me, self.own_member())
        failed_members = self._membership.members_to_remove()
        if failed_members:
            await self._views.remove(failed_members)

    def is_member(self) -> bool:
        """Return whether the view lists this router under its current boot id."""
        own_entry = self._heads.view.members.get(self._me)
        return own_entry is not None and own_entry.boot == self._peers.identity.boot

    def own_member(self) -> Member:
        """Return this router's entry for the view."""
        identity = self._peers.identity
        address = identity.cfg.advertise or identity.cfg.listen
        return Member(host=address.host, port=address.port, zone=identity.zone, boot=identity.boot)

    # Calls to other routers.

    async def _probe(self, router: RouterId) -> None:
        """Pull from one router; record a failed call as a missed probe."""
        try:
            await self.pull(router)
        except PeerError as exc:
            FAILURES.record("peer_probe_failed", exc, router=router)
            self._membership.record_probe_failure(router, refused=isinstance(exc, PeerUnreachable))
        except (StoreError, PatchError) as exc:
            FAILURES.record("heads_fetch_failed", exc, router=router)

    async def pull(self, router: RouterId) -> None:
        """Pull from one router: record its evidence and vouch, fetch newer versions."""
        heads = self._heads.numbers()
        asked_at = self._clock.now()
        request = Pull(0, heads.version, heads.view, self._membership.digest())
        reply = await self._peers.call(router, request)
        if not isinstance(reply, PullReply):
            raise PeerError(f"expected PullReply, got {type(reply).__name__}")
        self._membership.record_answer(router)
        peer_numbers = HeadNumbers(reply.version, reply.view)
        self._freshness.record_peer_reply(asked_at, peer_numbers, reply.evidence_age_ms)
        self._freshness.record_vouch(
            asked_at, router, Vouch(peer_numbers, reply.store_away, reply.pending)
        )
        if reply.digest != self._membership.digest() and peer_numbers.view == heads.view:
            await self._exchange_suspicions(router)
        if peer_numbers.is_newer_than(self._heads.numbers()):
            await self.fetch(router)

    async def _exchange_suspicions(self, router: RouterId) -> None:
        """Send all suspicions and merge those of the other router."""
        reply = await self._peers.call(router, Suspicions(0, self._membership.suspicion_entries()))
        if isinstance(reply, Suspicions):
            self._membership.merge_suspicions(reply.entries)

    async def fetch(self, router: RouterId) -> None:
        """Fetch newer versions from a router and install them."""
        async with self._fetch_lock:
            heads = self._heads.numbers()
            message = Fetch(0, heads.version, heads.view)
            asked_at = self._clock.now()
            reply = await self._peers.call(router, message, FETCH_TIMEOUT_MS)
            if isinstance(reply, FetchReply):
                self._heads.apply_fetch_reply(asked_at, reply)

    async def prepare(self, announced: HeadNumbers) -> bool:
        """Announce a change to the freshness voters before it is written.

        Returns whether a majority of each required voter set agreed.
        """
        agreed: set[RouterId] = set()
        unlisted_hosts = await self._unlisted_hosts()

        async def ask(router: RouterId) -> None:
            if await self._prepare_voter(router, announced, unlisted_hosts):
                agreed.add(router)

        async with trio.open_nursery() as nursery:
            for router in self._freshness_voters():
                nursery.start_soon(ask, router)
        return all(
            2 * len(agreed.intersection(voters)) > len(voters)
            for voters in self._voters.required_sets(FRESHNESS_NAME)
        )

    async def _prepare_voter(
        self, router: RouterId, announced: HeadNumbers, unlisted_hosts: set[str]
    ) -> bool:
        """Return whether one voter agrees to a change; a dead voter counts as agreeing.

        A voter whose process has certainly ended cannot vouch for the old version.
        """
        if router == self._me:
            return self._heads.acceptance_tracker.prepare(announced, self._heads.numbers())
        message = Prepare(0, announced.version, announced.view)
        try:
            reply = await self._peers.call(router, message)
        except PeerUnreachable:
            return await self._is_dead(router, unlisted_hosts)
        except PeerError as exc:
            FAILURES.record("prepare_request_failed", exc, router=router)
            member = self._membership.members.get(router)
            return member is not None and member.host in unlisted_hosts
        return isinstance(reply, Prepared) and reply.agreed

    async def _is_dead(self, router: RouterId, unlisted_hosts: set[str]) -> bool:
        """Return whether a router's process has certainly ended.

        An address that refuses connections has no listening process, whereas a
        frozen or partitioned router does not answer at all.
        """
        member = self._membership.members.get(router)
        if member is None:
            return False
        if member.host in unlisted_hosts:
            return True
        with trio.move_on_after(self._peers.identity.cfg.call_timeout_ms / MS_PER_SECOND):
            try:
                stream = await trio.open_tcp_stream(member.host, member.port)
            except OSError as exc:
                return _is_connection_refused(exc)
            await trio.aclose_forcefully(stream)
        return False

    async def _unlisted_hosts(self) -> set[str]:
        """Return the hosts of members that are missing from the platform's VM list."""
        try:
            listed = {vm.host for vm in await self._vm_list.list_vms()}
        except StoreError as exc:
            # Without the list, no host is known to be missing from it.
            FAILURES.record("vm_list_read_failed", exc)
            return set()
        hosts = {member.host for member in self._membership.members.values()}
        return hosts - listed if listed else set()

    async def withdraw(self, announced: HeadNumbers) -> None:
        """Notify the voters that an announced change was not written."""
        self._heads.acceptance_tracker.withdraw(announced)
        message = partial(Withdraw, 0, announced.version, announced.view)

        async def send_withdraw(router: RouterId) -> None:
            try:
                await self._peers.call(router, message())
            except PeerError as exc:
                FAILURES.record("withdraw_send_failed", exc, router=router)

        async with trio.open_nursery() as nursery:
            for router in self._freshness_voters():
                if router != self._me:
                    nursery.start_soon(send_withdraw, router)

    # Answers to other routers.

    async def answer_pull(self, router: RouterId, message: Pull) -> PullReply:
        """Reply with this router's versions; fetch first if the sender has newer ones."""
        self._membership.record_answer(router)
        sender_numbers = HeadNumbers(message.version, message.view)
        self._freshness.observe_heads(sender_numbers)
        if sender_numbers.is_newer_than(self._heads.numbers()):
            try:
                await self.fetch(router)
            except (PeerError, PatchError) as exc:
                FAILURES.record("heads_fetch_failed", exc, router=router)
        heads = self._heads.numbers()
        return PullReply(
            0,
            heads.version,
            heads.view,
            self._membership.digest(),
            self._freshness.evidence_age_ms(),
            self._heads.store_away,
            self._heads.acceptance_tracker.is_pending(),
        )

    async def answer_suspicions(self, router: RouterId, message: Suspicions) -> Suspicions:
        """Merge the sender's suspicions and return those of this router."""
        self._membership.merge_suspicions(message.entries)
        return Suspicions(0, self._membership.suspicion_entries())

    async def answer_fetch(self, router: RouterId, message: Fetch) -> FetchReply:
        """Return the newer configuration and view that the sender lacks."""
        return self._heads.fetch_reply(message.version, message.view)

    async def answer_prepare(self, router: RouterId, message: Prepare) -> Prepared:
        """Stop vouching for the present numbers, which are about to be replaced."""
        announced = HeadNumbers(message.version, message.view)
        return Prepared(0, self._heads.acceptance_tracker.prepare(announced, self._heads.numbers()))

    async def answer_withdraw(self, router: RouterId, message: Withdraw) -> Done:
        """Resume vouching after an announced change was withdrawn."""
        self._heads.acceptance_tracker.withdraw(HeadNumbers(message.version, message.view))
        return Done(0)


def _is_connection_refused(exc: OSError) -> bool:
    """Return whether a connection was refused, also within trio's exception group."""
    causes = [exc, exc.__cause__]
    group = exc.__cause__
    if isinstance(group, BaseExceptionGroup):
        causes += list(group.exceptions)
    return any(isinstance(cause, ConnectionRefusedError) for cause in causes)
