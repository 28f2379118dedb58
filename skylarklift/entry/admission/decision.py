"""Decide whether a request is sent, waits or is refused."""

from dataclasses import dataclass
from enum import Enum

from skylarklift.clock import MS_PER_SECOND

# Requests are counted late.  While less than this part of the known places is taken and nothing
# waits, no request is refused.
MIN_TAKEN_RATIO = 0.5


class Decision(Enum):
    """What becomes of a request."""

    ADMIT = "admit"
    WAIT = "wait"
    REFUSE = "refuse"


class RefusalReason(Enum):
    """Why a request is refused."""

    QUEUE_FULL = "queue_full"
    NO_ROOM_IN_TIME = "no_room_in_time"
    TIME_USED_UP = "time_used_up"


@dataclass(frozen=True, slots=True)
class Demand:
    """What a request needs: it is to be started within `left_ms`, if that is possible.

    `expired` is whether its deadline is over, so that no answer of it would be of use.
    `ahead` is whether it goes ahead of new requests, and `may_have_run` whether an attempt of it
    may have run.  `first` is whether it is its turn.
    """

    left_ms: int
    first: bool
    ahead: bool = False
    may_have_run: bool = False
    expired: bool = False


@dataclass(frozen=True, slots=True)
class Room:
    """What is known of the room for a request.

    `free` is whether an upstream has room for it.  `taken` of the `places` of the service are
    taken.  `before` requests wait before it, and `drain_per_s` requests of this router start in a
    second, `None` if unknown.
    """

    free: bool
    taken: int
    places: int
    before: int = 0
    drain_per_s: float | None = None
    queue_full: bool = False


@dataclass(frozen=True, slots=True)
class Verdict:
    """A decision, with the reason for a refusal."""

    decision: Decision
    reason: RefusalReason | None = None


ADMIT = Verdict(Decision.ADMIT)
WAIT = Verdict(Decision.WAIT)


def decide(demand: Demand, room: Room) -> Verdict:
    """Return what becomes of a request now."""
    if demand.expired:
        return _refuse(demand, RefusalReason.TIME_USED_UP)
    if demand.first and (room.free or _is_mostly_free(room)):
        # A request that is late already is better served than refused.
        return ADMIT
    if demand.left_ms <= 0:
        return _refuse(demand, RefusalReason.TIME_USED_UP)
    if room.queue_full:
        return _refuse(demand, RefusalReason.QUEUE_FULL)
    if not demand.ahead and expected_wait_ms(room) > demand.left_ms:
        return _refuse(demand, RefusalReason.NO_ROOM_IN_TIME)
    return WAIT


def expected_wait_ms(room: Room) -> float:
    """Return after what time a request is expected to start, 0 if that is unknown."""
    if not room.drain_per_s:
        return 0.0
    return (room.before + 1) / room.drain_per_s * MS_PER_SECOND


def _is_mostly_free(room: Room) -> bool:
    """Return whether so much of the service is free that nothing is refused."""
    return room.before == 0 and room.taken < MIN_TAKEN_RATIO * room.places


def _refuse(demand: Demand, reason: RefusalReason) -> Verdict:
    """Return the refusal, or send a request that may have run, which cannot be refused."""
    return ADMIT if demand.may_have_run else Verdict(Decision.REFUSE, reason)
