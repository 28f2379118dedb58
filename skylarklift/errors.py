"""The exception tree.

Everything that a user can cause or an outside system can do derives from
`SkylarkError`.  A `RequestError` also says whether the request ran, since a
caller must know before it sends the request again.
"""

from enum import Enum


class RunState(Enum):
    """Whether a refused or failed request ran at a back end."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class SkylarkError(Exception):
    """Base of all errors of this package."""


class SettingsError(SkylarkError):
    """Settings or a routing configuration that cannot be used.

    `findings` holds every fault found, each with its place.
    """

    def __init__(self, findings):
        super().__init__("; ".join(str(finding) for finding in findings))
        self.findings = findings


class StoreError(SkylarkError):
    """The platform's store did not do what was asked."""


class StoreUnavailable(StoreError):
    """The store did not take the call; it surely had no effect."""


class StoreAnswerLost(StoreError):
    """No answer came: the call may or may not have taken effect."""


class StoreConflict(StoreError):
    """A row was not at the expected version; nothing was written.

    `rows` maps each key that differed to the row found, or to `None`.
    """

    def __init__(self, rows):
        super().__init__(f"conflict on {', '.join(sorted(rows))}")
        self.rows = rows


class PeerError(SkylarkError):
    """Another router did not answer as asked."""


class PeerUnreachable(PeerError):
    """No connection to the router; the message was not sent."""


class PeerTimeout(PeerError):
    """No answer from the router in time; the message may have arrived."""


class AuthenticationError(PeerError):
    """The other side of a connection holds none of the fleet's keys."""


class PatchError(SkylarkError):
    """A patch was not accepted."""


class StalePatch(PatchError):
    """A patch names a version that is not the newest one.

    `changes` lists the patches accepted since, oldest first.
    """

    def __init__(self, current, changes):
        super().__init__(f"the configuration is at version {current}")
        self.current = current
        self.changes = changes


class PatchUnsettled(PatchError):
    """The store's answer was lost and could not be read back; ask again by patch id."""


class InvariantBreach(SkylarkError):
    """The program found one of its own invariants broken."""


class RequestError(SkylarkError):
    """A request that was refused or failed.

    `code` is stable.  `status` is the HTTP status.  `retry_after_ms` tells when
    to retry, or `None` where a retry is of no use.
    """

    code = "request_failed"
    status = 500
    run = RunState.UNKNOWN

    def __init__(self, message, *, retry_after_ms=None):
        super().__init__(message)
        self.retry_after_ms = retry_after_ms


class BadRequest(RequestError):
    """A request that is wrong in itself."""

    status = 400
    run = RunState.NOT_RUN

    def __init__(self, code, message, *, status=400):
        super().__init__(message)
        self.code = code
        self.status = status


class Refusal(RequestError):
    """A request that the fleet did not run and that may be sent again."""

    status = 503
    run = RunState.NOT_RUN

    def __init__(self, code, message, *, status=503, retry_after_ms=1000):
        super().__init__(message, retry_after_ms=retry_after_ms)
        self.code = code
        self.status = status


class OutcomeUnknown(RequestError):
    """A request that may have run and must not be sent again as it is."""

    code = "outcome_unknown"
    status = 502
    run = RunState.UNKNOWN


class AnswerLate(RequestError):
    """A request that was sent and had no complete answer in the time it had."""

    code = "no_answer_in_time"
    status = 504
    run = RunState.UNKNOWN


class UpstreamFailed(RequestError):
    """A request that reached an upstream, which failed; a retry is allowed."""

    code = "upstream_failed"
    status = 502
    run = RunState.RAN


class LinkError(SkylarkError):
    """A connection to another process failed."""


class ConnectFailed(LinkError):
    """No connection could be made; nothing was sent."""


class AnswerBroken(LinkError):
    """The connection ended before the answer was complete; the request may have run."""


class AnswerInvalid(LinkError):
    """What came is no answer to the request that was sent; it may have run."""


def leaf_errors(group: BaseExceptionGroup) -> list[BaseException]:
    """Return the single errors of a group, without the groups around them."""
    found: list[BaseException] = []
    for exc in group.exceptions:
        found += leaf_errors(exc) if isinstance(exc, BaseExceptionGroup) else [exc]
    return found
