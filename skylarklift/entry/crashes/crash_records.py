"""What crashed, and who was there: reports, the crashes they are about, and a record by suspect."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from skylarklift.clock import Millis
from skylarklift.ids import Fingerprint, ReplicaId

# So many different requests with a part are remembered.
MAX_FINGERPRINTS = 3


class SuspectKind(Enum):
    """What is suspected: one request, sent repeatedly, or a part that several prompts share."""

    REQUEST = "request"
    PART = "part"


@dataclass(frozen=True, slots=True)
class Suspect:
    """A request, named by its fingerprint, or a shared part of prompts, by its name."""

    kind: SuspectKind
    name: str


@dataclass(frozen=True, slots=True)
class CrashReport:
    """A request that was about to be answered, or had just begun to be, at a replica's crash.

    `parts` are the names of its prompt's shared parts, in order.  `answered` is true if its first
    event had come a while before the crash, which makes it less suspect.  `started_ms` is when the
    process that crashed had started, by its own clock, 0 if that is not known.
    """

    replica: ReplicaId
    crashed_at: Millis
    fingerprint: Fingerprint
    parts: tuple[str, ...] = ()
    answered: bool = False
    started_ms: int = 0

    def suspects(self) -> list[Suspect]:
        """Return what the report makes suspect: the request and each of the parts."""
        return suspects_of(self.fingerprint, self.parts)


@dataclass(eq=False, slots=True)
class Crash:
    """One crash of a replica, whose process had started at `started_ms`, 0 if that is not known.

    `explained` is set while a part in it is convicted.  If a request was convicted, `only_parts`
    are those of its prompt: one of them may be the cause, other parts are not.
    """

    replica: ReplicaId
    crashed_at: Millis
    started_ms: int = 0
    explained: bool = False
    only_parts: frozenset[Suspect] | None = None

    def may_be_of(self, report: CrashReport) -> bool:
        """Return whether a report may be about the same process."""
        starts = {self.started_ms, report.started_ms} - {0}
        return self.replica == report.replica and len(starts) <= 1

    def may_be_caused_by(self, suspect: Suspect) -> bool:
        """Return whether a suspect that was there may be the cause."""
        if suspect.kind is SuspectKind.REQUEST or self.only_parts is None:
            return True
        return suspect in self.only_parts


@dataclass(slots=True)
class SuspectRecord:
    """The crashes in which a suspect took part.

    `unanswered` are the crashes at which it was in a request without an answer.  `fingerprints`
    are the requests that had a part, `depth` is its place in their prompts, and `behind` are the
    parts before it in all of them, `None` without a prompt yet.  `parts` are those of the prompt of
    a request.
    """

    crashes: list[Crash] = field(default_factory=list)
    unanswered: set[Crash] = field(default_factory=set)
    fingerprints: set[Fingerprint] = field(default_factory=set)
    depth: int = 0
    behind: frozenset[Suspect] | None = None
    parts: frozenset[Suspect] = frozenset()

    def note_crash(self, crash: Crash, *, answered: bool) -> None:
        """Record a crash, and whether the suspect was in a request that had been answered."""
        if crash not in self.crashes:
            self.crashes.append(crash)
        if not answered:
            self.unanswered.add(crash)

    def note_prompt(self, fingerprint: Fingerprint, before: frozenset[Suspect]) -> None:
        """Record a request that had a part, and the parts before that one in its prompt."""
        if len(self.fingerprints) < MAX_FINGERPRINTS:
            self.fingerprints.add(fingerprint)
        self.depth = max(self.depth, len(before))
        self.behind = before if self.behind is None else self.behind & before

    def is_of_several_requests(self) -> bool:
        """Return whether the evidence is of more than one request that is sent repeatedly."""
        return len(self.fingerprints) > 1


def suspects_of(fingerprint: Fingerprint, parts: Iterable[str]) -> list[Suspect]:
    """Return a request and the shared parts of its prompt as suspects."""
    found = [Suspect(SuspectKind.PART, part) for part in parts]
    if fingerprint:
        found.insert(0, Suspect(SuspectKind.REQUEST, f"{fingerprint:08x}"))
    return found
