"""Find out whether an upstream that is silent or broke off can still be reached."""

from typing import TYPE_CHECKING

from skylarklift.clock import Millis
from skylarklift.entry.core import Core, Probe
from skylarklift.entry.placement.health import HealthSignal
from skylarklift.errors import ConnectFailed, LocalShortage, NoRelay

if TYPE_CHECKING:
    from skylarklift.entry.requests.attempt import Attempt

PROBE_TIMEOUT_MS = 250
# The result of a probe is reused for this long.
PROBE_TTL_MS = 300


async def is_reachable(
    core: Core, attempt: "Attempt", since: Millis | None = None, *, if_unknown: bool = True
) -> bool:
    """Return whether an upstream that is silent or broke off still accepts connections.

    That it did before `since` does not count.  Without `since` it may also be silent for a time.
    Return `if_unknown` if this router itself lacks what a connection needs.
    """
    record, unanswered, began_at = attempt.record, core.health.unanswered, core.clock.now()
    if since is None and unanswered.has_tolerated(record.replica, PROBE_TIMEOUT_MS):
        return True
    known = core.probes.get(record.replica)
    if known is not None and core.clock.now() - known.probed_at < PROBE_TTL_MS:
        if not known.alive or since is None or known.probed_at >= since:
            return known.alive
    try:
        stream = await core.dialer.dial(record, PROBE_TIMEOUT_MS)
        stream.socket.close()
        unanswered.record_answer(record.replica)
        alive = True
    except LocalShortage as exc:
        attempt.detail = f"{attempt.detail}; {exc}"
        return if_unknown
    except ConnectFailed as exc:
        if isinstance(exc, NoRelay):
            return if_unknown
        if unanswered.tolerates(record.replica, exc, began_at) and since is None:
            return True
        attempt.detail = f"{attempt.detail}; {exc}"
        attempt.report_signal(HealthSignal.UNREACHABLE)
        alive = False
    core.probes[record.replica] = Probe(core.clock.now(), alive)
    return alive
