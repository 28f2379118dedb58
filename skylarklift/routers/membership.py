"""Track which routers are members of the fleet and which of them are suspected dead.

The view (the members and their addresses) is a numbered row of the table service.
Between view changes each member probes the next one in ring order and suspects it
when it does not answer.  A suspicion is gossiped with its age and expires unless
the prober renews it, so a wrong suspicion ends without further action.

Routers exchange only a digest of their suspicions, and the full list when the
digests differ.  The scheme, a short check while the state is legal and a full exchange
on a mismatch, is from S. Dolev and E. Schiller, "Communication Adaptive
Self-Stabilizing Group Membership Service".
"""

from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

from skylarklift.clock import Clock, Millis
from skylarklift.generated import Member, PeerSettings, SuspicionEntry
from skylarklift.ids import BootId, RouterId

DIGEST_MASK = 0xFFFFFFFF
# A router that runs reads the failure of a probe at most this many intervals and a call's
# time-out after that of the one before.
PROBE_GAP_INTERVALS = 2


@dataclass
class _Suspicion:
    """A suspicion: the boot id of the suspected router and when it was last renewed."""

    boot: BootId
    renewed_at: Millis


@dataclass
class _Silence:
    """For how long probes of a router have failed without an answer between them."""

    duration_ms: int
    noted_at: Millis


class Membership:
    """The view and the suspicions as known to one router."""

    def __init__(self, clock: Clock, me: RouterId, cfg: PeerSettings):
        self._clock = clock
        self._me = me
        self._cfg = cfg
        self.view = 0
        self.members: dict[RouterId, Member] = {}
        self._suspicions: dict[RouterId, _Suspicion] = {}
        self._last_answer_at: dict[RouterId, Millis] = {}
        self._silences: dict[RouterId, _Silence] = {}

    def apply_view(self, view: int, members: dict[RouterId, Member]) -> None:
        """Apply a newer view and drop the suspicions and probe results of removed members."""
        if view <= self.view:
            return
        self.view = view
        self.members = dict(members)
        for router in [name for name in self._suspicions if name not in members]:
            del self._suspicions[router]
        for known in (self._last_answer_at, self._silences):
            for router in [name for name in known if name not in members]:
                del known[router]

    # Results of probes and calls.

    def record_answer(self, router: RouterId) -> None:
        """Record an answer from a router and end the suspicion of it."""
        self._last_answer_at[router] = self._clock.now()
        self._silences.pop(router, None)
        self._suspicions.pop(router, None)

    def record_probe_failure(self, router: RouterId, *, refused: bool) -> None:
        """Record a failed probe.

        A refused connection leads to a suspicion at once, any other failure after
        `suspect_after_ms` without an answer.
        """
        if router not in self.members:
            return
        now = self._clock.now()
        silence_ms = self._extend_silence(router, now)
        if refused or silence_ms >= self._cfg.suspect_after_ms:
            self._suspicions[router] = _Suspicion(BootId(self.members[router].boot), now)

    def _extend_silence(self, router: RouterId, now: Millis) -> int:
        """Add a failed probe to the silence of a router; return how long that is now.

        A gap that probes do not leave is not counted: this router stood still, or asked nothing.
        """
        silence = self._silences.get(router)
        if silence is None:
            start = self._last_answer_at.get(router, now)
            silence = self._silences[router] = _Silence(0, start)
        gap_ms = now - silence.noted_at
        if gap_ms <= PROBE_GAP_INTERVALS * self._cfg.pull_interval_ms + self._cfg.call_timeout_ms:
            silence.duration_ms += gap_ms
        silence.noted_at = now
        return silence.duration_ms

    # Exchange of suspicions.

    def suspicion_entries(self) -> list[SuspicionEntry]:
        """Return the current suspicions with their ages."""
        now = self._clock.now()
        self._expire_suspicions(now)
        return [
            SuspicionEntry(name, item.boot, now - item.renewed_at)
            for name, item in sorted(self._suspicions.items())
        ]

    def merge_suspicions(self, entries: list[SuspicionEntry]) -> None:
        """Merge another router's suspicions.

        A suspicion is kept if it is newer than the known one and than the last
        answer from the suspected router.
        """
        now = self._clock.now()
        for entry in entries:
            router = RouterId(entry.router)
            member = self.members.get(router)
            if router == self._me or member is None or member.boot != entry.boot:
                continue
            renewed_at = Millis(now - max(0, entry.age_ms))
            current = self._suspicions.get(router)
            is_newer = current is None or renewed_at > current.renewed_at
            if is_newer and renewed_at > self._last_answer_at.get(router, Millis(-1)):
                self._suspicions[router] = _Suspicion(BootId(entry.boot), renewed_at)
        self._expire_suspicions(now)

    def digest(self) -> int:
        """Return a 32-bit digest of the view number and the suspected routers.

        A suspicion past half its time counts as another one, so that routers learn of its renewal.
        """
        now = self._clock.now()
        self._expire_suspicions(now)
        limit = now - self._cfg.suspicion_lasts_ms // 2
        items = sorted(self._suspicions.items())
        names = ",".join(f"{name}:{item.renewed_at > limit:d}" for name, item in items)
        return xxh3_64_intdigest(f"{self.view}:{names}".encode()) & DIGEST_MASK

    def _expire_suspicions(self, now: Millis) -> None:
        """Drop suspicions that were not renewed within `suspicion_lasts_ms`."""
        limit = now - self._cfg.suspicion_lasts_ms
        for name in [n for n, item in self._suspicions.items() if item.renewed_at <= limit]:
            del self._suspicions[name]

    # Queries.

    def live(self) -> list[RouterId]:
        """Return the members that are not suspected, including this router if a member."""
        self._expire_suspicions(self._clock.now())
        return [name for name in sorted(self.members) if name not in self._suspicions]

    def eligible(self) -> list[RouterId]:
        """Return the live members that are not leaving; these may become admitters."""
        return [name for name in self.live() if not self.members[name].leaving]

    def live_peers(self) -> list[RouterId]:
        """Return the live members other than this router."""
        return [name for name in self.live() if name != self._me]

    def probe_targets(self) -> list[RouterId]:
        """Return the successors in ring order up to and including the first unsuspected one."""
        ring = sorted(self.members)
        after = [name for name in ring if name > self._me]
        before = [name for name in ring if name < self._me]
        targets = []
        for name in after + before:
            targets.append(name)
            if name not in self._suspicions:
                break
        return targets

    def members_to_remove(self) -> list[RouterId]:
        """Return the suspected members whose probes failed for `remove_after_ms`.

        Only probes by this router count.
        """
        self._expire_suspicions(self._clock.now())
        return [
            name
            for name, silence in sorted(self._silences.items())
            if silence.duration_ms >= self._cfg.remove_after_ms and name in self._suspicions
        ]
