"""Which routers belong to the fleet, and which of them are suspected to be gone.

The view (the members and their addresses) is a numbered row of the table service.
Between changes of the view each member probes the next one in ring order and
suspects it when it stays silent.  A suspicion travels with its age and ends unless
its prober renews it, so a wrong one heals by itself.

While all agree, routers exchange only a digest of their suspicions, and the full
list only when the digests differ.  The idea of a short check while the state is
legal and a full exchange on a mismatch is from S. Dolev and E. Schiller,
"Communication Adaptive Self-Stabilizing Group Membership Service".
"""

from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

from skylarklift.clock import Clock, Millis
from skylarklift.generated import Member, PeerSettings, SuspicionEntry
from skylarklift.ids import BootId, RouterId

DIGEST_MASK = 0xFFFFFFFF


@dataclass
class _Suspicion:
    """A router that is suspected: which boot of it, and when that was last seen so."""

    boot: BootId
    renewed_at: Millis


class Membership:
    """What one router knows of the others."""

    def __init__(self, clock: Clock, me: RouterId, cfg: PeerSettings):
        self._clock = clock
        self._me = me
        self._cfg = cfg
        self.view = 0
        self.members: dict[RouterId, Member] = {}
        self._suspicions: dict[RouterId, _Suspicion] = {}
        self._last_answer_at: dict[RouterId, Millis] = {}
        self._silent_since: dict[RouterId, Millis] = {}

    def apply_view(self, view: int, members: dict[RouterId, Member]) -> None:
        """Take over a newer view."""
        if view <= self.view:
            return
        self.view = view
        self.members = dict(members)
        for router in [name for name in self._suspicions if name not in members]:
            del self._suspicions[router]
        for known in (self._last_answer_at, self._silent_since):
            for router in [name for name in known if name not in members]:
                del known[router]

    # What probes and calls tell.

    def record_answer(self, router: RouterId) -> None:
        """Note that a router answered; an own suspicion of it ends."""
        self._last_answer_at[router] = self._clock.now()
        self._silent_since.pop(router, None)
        self._suspicions.pop(router, None)

    def record_probe_failure(self, router: RouterId, *, refused: bool) -> None:
        """Note that a probe failed; a refused connection is enough for a suspicion."""
        if router not in self.members:
            return
        now = self._clock.now()
        silent_since = self._silent_since.setdefault(router, now)
        silence_ms = now - max(self._last_answer_at.get(router, silent_since), Millis(0))
        if refused or silence_ms >= self._cfg.suspect_after_ms:
            self._suspicions[router] = _Suspicion(BootId(self.members[router].boot), now)

    # Suspicions of others.

    def suspicion_entries(self) -> list[SuspicionEntry]:
        """Return the suspicions with their ages."""
        now = self._clock.now()
        self._expire_suspicions(now)
        return [
            SuspicionEntry(name, item.boot, now - item.renewed_at)
            for name, item in sorted(self._suspicions.items())
        ]

    def merge_suspicions(self, entries: list[SuspicionEntry]) -> None:
        """Take over suspicions of another router where they are newer than ours."""
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
        """Return a 32-bit digest of the view number and the suspected routers."""
        self._expire_suspicions(self._clock.now())
        names = ",".join(sorted(self._suspicions))
        return xxh3_64_intdigest(f"{self.view}:{names}".encode()) & DIGEST_MASK

    def _expire_suspicions(self, now: Millis) -> None:
        """Forget suspicions that nobody renewed."""
        limit = now - self._cfg.suspicion_lasts_ms
        for name in [n for n, item in self._suspicions.items() if item.renewed_at <= limit]:
            del self._suspicions[name]

    # What to do.

    def live(self) -> list[RouterId]:
        """Return the members that are not suspected, this one included if it is a member."""
        self._expire_suspicions(self._clock.now())
        return [name for name in sorted(self.members) if name not in self._suspicions]

    def eligible(self) -> list[RouterId]:
        """Return the live members that are not leaving, which may admit for pools."""
        return [name for name in self.live() if not self.members[name].leaving]

    def live_peers(self) -> list[RouterId]:
        """Return the live members without this one."""
        return [name for name in self.live() if name != self._me]

    def probe_targets(self) -> list[RouterId]:
        """Return the next live member in ring order and the suspected ones before it."""
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
        """Return the members that this router itself found silent for so long."""
        limit = self._clock.now() - self._cfg.remove_after_ms
        return [
            name
            for name, since in sorted(self._silent_since.items())
            if since <= limit and name in self._suspicions
        ]
