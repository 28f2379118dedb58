"""How an upstream fails a request."""

from enum import Enum

from skylarklift.errors import SkylarkError


class FailureKind(Enum):
    """How an upstream failed."""

    UNREACHABLE = "unreachable"
    BUSY = "busy"
    BROKEN = "broken"
    CROSSED = "crossed"


class UpstreamError(SkylarkError):
    """An upstream that did not give the whole answer.

    `sent` tells whether any byte of the request may have reached it.
    """

    def __init__(self, kind: FailureKind, text: str, *, sent: bool):
        super().__init__(text)
        self.kind = kind
        self.sent = sent
