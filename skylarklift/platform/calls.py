"""Translate requests and answers between the platform's header fields and our types."""

from skylarklift.clock import Millis
from skylarklift.entry.codec import BadCall, CallCodec
from skylarklift.entry.model import (
    Call,
    Headers,
    LoadReport,
    PromptPart,
    ResponseHead,
    SendOptions,
)
from skylarklift.ids import RequestId
from skylarklift.platform import names

MS_PER_SECOND = 1000
# Fields that concern one connection only.
HOP_FIELDS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    )
)


class PlatformCalls(CallCodec):
    """Header fields as the platform's clients and upstreams use them."""

    ready_path = names.READY_PATH

    def decode_call(self, method: bytes, target: bytes, headers: Headers, now: Millis) -> Call:
        """Return a client's request without its body; raise `BadCall`."""
        fields = _fields(headers)
        host = fields.get(b"host", b"").decode("latin-1").lower().partition(":")[0]
        path = target.decode("latin-1").partition("?")[0]
        request = fields.get(names.REQUEST_ID, b"")
        if not request:
            raise BadCall("missing_request_id", "the request has no id")
        named = _named_by_connection(fields)
        passed = [
            (name, value)
            for name, value in headers
            if name not in HOP_FIELDS and name not in names.OWN_FIELDS and name not in named
        ]
        return Call(
            request=RequestId(request.decode("latin-1")),
            method=method,
            target=target,
            host=host,
            path=path,
            headers=passed,
            received=now,
            key=fields.get(names.API_KEY, b"").decode("latin-1"),
            deadline_ms=_whole(fields.get(names.DEADLINE)) or 0,
            resume_after=_whole(fields.get(names.LAST_EVENT)),
            parts=_parts(fields.get(names.PREFIX, b"")),
        )

    def encode_send(self, call: Call, terms: SendOptions) -> Headers:
        """Return the header fields of a request to an upstream, without its framing."""
        headers = list(call.headers)
        headers.append((names.DEADLINE, b"%d" % terms.left_ms))
        headers.append((names.EXPECT_REPLICA, terms.replica.encode("latin-1")))
        if terms.workspace is not None:
            headers.append((names.TENANT, terms.workspace.encode("latin-1")))
        if terms.rank is not None:
            urgency = max(0, min(terms.rank, names.LOWEST_PRIORITY))
            headers.append((names.PRIORITY, b"%d" % urgency))
        if terms.resume_after is not None:
            headers.append((names.LAST_EVENT, b"%d" % terms.resume_after))
        if terms.copy_from is not None:
            headers.append((names.KV_FETCH, str(terms.copy_from).encode("ascii")))
        return headers

    def decode_answer(self, status: int, headers: Headers) -> ResponseHead:
        """Return the head of an upstream's answer."""
        fields = _fields(headers)
        request = fields.get(names.REQUEST_ID)
        named = _named_by_connection(fields)
        passed = [
            (name, value) for name, value in headers if name not in HOP_FIELDS and name not in named
        ]
        return ResponseHead(
            status=status,
            headers=passed,
            request=None if request is None else RequestId(request.decode("latin-1")),
            signed=bool(fields.get(names.SIGNATURE)),
            not_run=names.NOT_RUN in fields,
            moved=status == names.STATUS_MOVED,
            encoded=fields.get(b"content-encoding", b"identity").lower() != b"identity",
            length=_whole(fields.get(b"content-length")),
            keep_ms=_keep_ms(fields.get(b"keep-alive", b"")),
            load=_load(fields.get(names.REPLICA_LOAD, b"")),
            cold_ms=_whole(fields.get(names.COLD)),
        )


def _fields(headers: Headers) -> dict[bytes, bytes]:
    """Return the header fields by name; the last one of a name counts."""
    return dict(headers)


def _named_by_connection(fields: dict[bytes, bytes]) -> frozenset[bytes]:
    """Return the names that the connection field declares to concern one connection."""
    value = fields.get(b"connection")
    if value is None:
        return frozenset()
    return frozenset(item.strip().lower() for item in value.split(b","))


def _whole(value: bytes | None) -> int | None:
    """Return a whole number of at least zero, or `None`."""
    if value is None or not value.isdigit():
        return None
    return int(value)


def _parts(value: bytes) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt, written as ID:TOKENS and separated by commas."""
    parts = []
    for item in value.decode("latin-1").split(","):
        name, mark, tokens = item.strip().partition(":")
        if mark and tokens.isdigit():
            parts.append(PromptPart(name, int(tokens)))
    return tuple(parts)


def _keep_ms(value: bytes) -> int | None:
    """Return how long an idle connection is kept, in milliseconds."""
    for item in value.split(b","):
        name, _, span = item.strip().partition(b"=")
        if name.lower() == b"timeout" and span.isdigit():
            return int(span) * MS_PER_SECOND
    return None


def _load(value: bytes) -> LoadReport | None:
    """Return an upstream's load, written as running, waiting and slots."""
    items = value.split(b",")
    if len(items) != 3 or not all(item.strip().isdigit() for item in items):
        return None
    return LoadReport(*(int(item) for item in items))
