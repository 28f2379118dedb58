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
    renewed: Millis


class Membership:
    """What one router knows of the others."""

    def __init__(self, clock: Clock, me: RouterId, cfg: PeerSettings):
        self._clock = clock
        self._me = me
        self._cfg = cfg
        self.view = 0
        self.members: dict[RouterId, Member] = {}
        self._suspicions: dict[RouterId, _Suspicion] = {}
        self._heard: dict[RouterId, Millis] = {}
        self._silent_since: dict[RouterId, Millis] = {}

    def change_view(self, view: int, members: dict[RouterId, Member]) -> None:
        """Take over a newer view."""
        if view <= self.view:
            return
        self.view = view
        self.members = dict(members)
        for router in [name for name in self._suspicions if name not in members]:
            del self._suspicions[router]
        for known in (self._heard, self._silent_since):
            for router in [name for name in known if name not in members]:
                del known[router]

    # What probes and calls tell.

    def hear(self, router: RouterId) -> None:
        """Note that a router answered; an own suspicion of it ends."""
        self._heard[router] = self._clock.now()
        self._silent_since.pop(router, None)
        self._suspicions.pop(router, None)

    def miss(self, router: RouterId, *, refused: bool) -> None:
        """Note that a probe failed; a refused connection is enough for a suspicion."""
        if router not in self.members:
            return
        now = self._clock.now()
        since = self._silent_since.setdefault(router, now)
        silent = now - max(self._heard.get(router, since), Millis(0))
        if refused or silent >= self._cfg.suspect_after_ms:
            self._suspicions[router] = _Suspicion(BootId(self.members[router].boot), now)

    # Suspicions of others.

    def entries(self) -> list[SuspicionEntry]:
        """Return the suspicions with their ages."""
        now = self._clock.now()
        self._drop_ended(now)
        return [
            SuspicionEntry(name, item.boot, now - item.renewed)
            for name, item in sorted(self._suspicions.items())
        ]

    def take_entries(self, entries: list[SuspicionEntry]) -> None:
        """Take over suspicions of another router where they are newer than ours."""
        now = self._clock.now()
        for entry in entries:
            router = RouterId(entry.router)
            member = self.members.get(router)
            if router == self._me or member is None or member.boot != entry.boot:
                continue
            renewed = Millis(now - max(0, entry.age_ms))
            known = self._suspicions.get(router)
            fresher = known is None or renewed > known.renewed
            if fresher and renewed > self._heard.get(router, Millis(-1)):
                self._suspicions[router] = _Suspicion(BootId(entry.boot), renewed)
        self._drop_ended(now)

    def digest(self) -> int:
        """Return a 32-bit digest of the view number and the suspected routers."""
        self._drop_ended(self._clock.now())
        names = ",".join(sorted(self._suspicions))
        return xxh3_64_intdigest(f"{self.view}:{names}".encode()) & DIGEST_MASK

    def _drop_ended(self, now: Millis) -> None:
        """Forget suspicions that nobody renewed."""
        limit = now - self._cfg.suspicion_lasts_ms
        for name in [n for n, item in self._suspicions.items() if item.renewed <= limit]:
            del self._suspicions[name]

    # What to do.

    def live(self) -> list[RouterId]:
        """Return the members that are not suspected, this one included if it is a member."""
        self._drop_ended(self._clock.now())
        return [name for name in sorted(self.members) if name not in self._suspicions]

    def eligible(self) -> list[RouterId]:
        """Return the live members that are not leaving, which may admit for pools."""
        return [name for name in self.live() if not self.members[name].leaving]

    def others(self) -> list[RouterId]:
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

    def to_remove(self) -> list[RouterId]:
        """Return the members that this router itself found silent for so long."""
        limit = self._clock.now() - self._cfg.remove_after_ms
        return [
            name
            for name, since in sorted(self._silent_since.items())
            if since <= limit and name in self._suspicions
        ]
