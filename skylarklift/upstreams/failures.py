"""The ways in which a request to an upstream fails."""

from enum import Enum

from skylarklift.errors import SkylarkError


class FailureKind(Enum):
    """The way in which a request failed.

    `UNREACHABLE`: no connection.  `BUSY`: the upstream reported overload.  `BROKEN`:
    the connection or the stream failed.  `CROSSED`: the response is to another request.
    """

    UNREACHABLE = "unreachable"
    BUSY = "busy"
    BROKEN = "broken"
    CROSSED = "crossed"


class UpstreamError(SkylarkError):
    """An upstream did not return a complete response.

    `sent` is whether any byte of the request may have reached it.
    """

    def __init__(self, kind: FailureKind, text: str, *, sent: bool):
        super().__init__(text)
        self.kind = kind
        self.sent = sent
