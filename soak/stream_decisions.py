"""What routers decided about streams that callers took up, compared with each other."""

import json
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import combinations

from soak.stream_checker import SentCall, Try

# A router refuses as what it knows tells that no version is certain.
NO_VERSION_NAMED = "replica_named_no_version"
COMPARED_MS = 100


@dataclass(frozen=True)
class Decision:
    """Where a router let a stream go on: `version` is `None` if nowhere, or not for certain."""

    source: str
    resumes: str | None
    version: str | None = None

    def describe(self) -> str:
        """Return the decision as text."""
        return f"{self.version or 'no version'} ({self.source})"


def parse_decisions(lines: Iterable[str]) -> dict[str, Decision]:
    """Return the decisions in the lines of routers' logs, by the id of the try."""
    decisions = {}
    for line in lines:
        if '"resumption"' not in line:
            continue
        try:
            fields = json.loads(line)
        except ValueError:
            # The router was killed as it wrote.
            continue
        decision = Decision(fields["resumption"], fields["resumes"], fields.get("version"))
        decisions[fields["id"]] = decision
    return decisions


def check_decisions(call: SentCall, decisions: dict[str, Decision]) -> list[str]:
    """Return which decisions about one stream contradict each other."""
    sent = Counter(item.attempt for item in call.tries)
    # Of an id that was sent twice, nothing tells which decision is about which connection.
    tries = [item for item in call.tries if sent[item.attempt] == 1]
    decided = [item for item in tries if item.attempt in decisions]
    found = []
    for first, second in combinations(decided, 2):
        a, b = decisions[first.attempt], decisions[second.attempt]
        if first.router == second.router or a.resumes != b.resumes:
            continue
        if differ(a, b) or is_refused_beside(call, first, second, decisions):
            found.append(
                f"{first.attempt} finds {a.describe()} at {first.router}, "
                f"{second.attempt} finds {b.describe()} at {second.router}"
            )
    return found


def differ(a: Decision, b: Decision) -> bool:
    """Return whether two routers let one stream go on at different versions."""
    return None not in (a.version, b.version) and a.version != b.version


def is_refused_beside(
    call: SentCall, first: Try, second: Try, decisions: dict[str, Decision]
) -> bool:
    """Return whether a router refused what another let go on, though its version is not certain.

    A router that refuses because it knows less is not wrong, nor is one that goes on before the
    other can have reported it.
    """
    refused, other = first, second
    if decisions[refused.attempt].source != NO_VERSION_NAMED:
        refused, other = second, first
    if decisions[refused.attempt].source != NO_VERSION_NAMED:
        return False
    if decisions[other.attempt].version is None or goes_on_beside(call, first, second):
        return False
    return abs(refused.answered_ms - other.started_ms) <= COMPARED_MS


def goes_on_beside(call: SentCall, first: Try, second: Try) -> bool:
    """Return whether an earlier try was open, by which a router may just have learnt more."""
    start_ms = min(first.started_ms, second.started_ms)
    others = [item for item in call.tries if item not in (first, second)]
    return any(item.started_ms <= start_ms < item.ended_ms for item in others)
