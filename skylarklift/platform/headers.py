"""Translate between the platform's header fields and the router's requests and responses."""

from skylarklift.clock import Millis
from skylarklift.entry.model import (
    USUAL_WORK_PERCENT,
    Call,
    Headers,
    PromptPart,
    ReplicaLoad,
    ResponseHead,
    SendOptions,
)
from skylarklift.entry.requests.header_codec import BadCall, HeaderCodec
from skylarklift.ids import RequestId
from skylarklift.platform import names
from skylarklift.util.bounded import parse_decimal, parse_integer

MS_PER_SECOND = 1000
# RUNNING,WAITING,SLOTS, and from some upstreams the time that work takes in percent of the usual.
REQUIRED_LOAD_FIELDS = 3
MAX_LOAD_FIELDS = 4
# Header fields that apply to one connection only, and the framing fields that are set anew.
HOP_BY_HOP_HEADERS = frozenset(
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


class PlatformHeaderCodec(HeaderCodec):
    """Decode and encode header fields as the platform's callers and upstreams use them."""

    ready_path = names.READY_PATH

    def decode_request(self, method: bytes, target: bytes, headers: Headers, now: Millis) -> Call:
        """Return a caller's request without its body; raise `BadCall`."""
        fields = _last_values(headers)
        host = fields.get(b"host", b"").decode("latin-1").lower().partition(":")[0]
        path = target.decode("latin-1").partition("?")[0]
        request = fields.get(names.REQUEST_ID, b"")
        if not request:
            raise BadCall("missing_request_id", "the request has no x-attempt-id header field")
        connection_options = _connection_options(fields)
        forwarded = [
            (name, value)
            for name, value in headers
            if name not in HOP_BY_HOP_HEADERS
            and name not in names.STRIPPED_REQUEST_HEADERS
            and name not in connection_options
        ]
        return Call(
            request=RequestId(request.decode("latin-1")),
            method=method,
            target=target,
            host=host,
            path=path,
            headers=forwarded,
            received_at=now,
            api_key=fields.get(names.API_KEY, b"").decode("latin-1"),
            deadline_ms=_parse_caller_number(fields.get(names.DEADLINE), "deadline") or 0,
            resume_after=_parse_caller_number(fields.get(names.LAST_EVENT), "last event id"),
            resumes=_parse_request_id(fields.get(names.RESUMES)),
            parts=_parse_prompt_parts(fields.get(names.PREFIX, b"")),
        )

    def encode_upstream_headers(self, call: Call, options: SendOptions) -> Headers:
        """Return the header fields of a request to an upstream, without the body's length."""
        headers = list(call.headers)
        headers.append((names.DEADLINE, b"%d" % options.left_ms))
        headers.append((names.EXPECT_REPLICA, options.replica.encode()))
        if options.workspace is not None:
            headers.append((names.TENANT, options.workspace.encode()))
        if options.priority is not None:
            priority = max(0, min(options.priority, names.LOWEST_PRIORITY))
            headers.append((names.PRIORITY, b"%d" % priority))
        if options.resume_after is not None:
            headers.append((names.LAST_EVENT, b"%d" % options.resume_after))
        if options.copy_from is not None:
            headers.append((names.KV_FETCH, str(options.copy_from).encode("ascii")))
        return headers

    def decode_response_head(self, status: int, headers: Headers) -> ResponseHead:
        """Return the head of an upstream's response."""
        fields = _last_values(headers)
        request = fields.get(names.REQUEST_ID)
        connection_options = _connection_options(fields)
        forwarded = [
            (name, value)
            for name, value in headers
            if name not in HOP_BY_HOP_HEADERS and name not in connection_options
        ]
        request_limit = _parse_decimal(fields.get(names.REQUEST_LIMIT))
        return ResponseHead(
            status=status,
            headers=forwarded,
            request=None if request is None else RequestId(request.decode("latin-1")),
            signed=bool(fields.get(names.SIGNATURE)),
            not_run=names.NOT_RUN in fields,
            moved=status == names.STATUS_MISDIRECTED,
            encoded=fields.get(b"content-encoding", b"identity").lower() != b"identity",
            length=_parse_uint(fields.get(b"content-length")),
            keep_alive_ms=_parse_keep_alive_ms(fields.get(b"keep-alive", b"")),
            load=_parse_load(fields.get(names.REPLICA_LOAD, b"")),
            cold_ms=_parse_uint(fields.get(names.COLD_START)),
            hold_off_ms=_parse_hold_off_ms(status, fields.get(names.RETRY_AFTER)),
            leaving=fields.get(names.LEAVING, b"").strip() == names.LEAVING_VALUE,
            request_limit=request_limit,
            limit_unreadable=request_limit is None and names.REQUEST_LIMIT in fields,
            rejection_limit=_parse_rejection_limit(fields.get(names.REJECTION_LIMIT)),
        )


def _last_values(headers: Headers) -> dict[bytes, bytes]:
    """Return the header fields by name; of repeated fields, the last one."""
    return dict(headers)


def _connection_options(fields: dict[bytes, bytes]) -> frozenset[bytes]:
    """Return the connection options: field names that Connection lists as hop-by-hop."""
    value = fields.get(b"connection")
    if value is None:
        return frozenset()
    return frozenset(item.strip().lower() for item in value.split(b","))


def _parse_request_id(value: bytes | None) -> RequestId | None:
    """Return the id of a request, or `None`."""
    return RequestId(value.decode("latin-1")) if value else None


def _parse_caller_number(value: bytes | None, name: str) -> int | None:
    """Return a number of a caller, `None` without one; raise `BadCall` if it is too large.

    Text that is no number has no meaning here: services may use the field in their own way.
    """
    if value is None or not value.isdigit():
        return None
    try:
        return parse_integer(value)
    except ValueError as exc:
        raise BadCall("invalid_number", f"{name}: {exc}") from exc


def _parse_uint(value: bytes | None) -> int | None:
    """Return a non-negative integer of an upstream, or `None` if it names none in range."""
    if value is None:
        return None
    try:
        return parse_integer(value.strip())
    except ValueError:
        return None


def _parse_decimal(value: bytes | None) -> float | None:
    """Return a finite non-negative decimal number, or `None`."""
    if value is None:
        return None
    try:
        return parse_decimal(value)
    except ValueError:
        return None


def _parse_rejection_limit(value: bytes | None) -> int | None:
    """Return how many rejections a second an upstream bears, 0 if that is no number."""
    return None if value is None else _parse_uint(value) or 0


def _parse_hold_off_ms(status: int, value: bytes | None) -> int | None:
    """Return for how long an upstream wants no request, if it turns one away and says so."""
    seconds = _parse_decimal(value) if status == names.STATUS_TURNED_AWAY else None
    return None if seconds is None else int(seconds * MS_PER_SECOND)


def _parse_prompt_parts(value: bytes) -> tuple[PromptPart, ...]:
    """Return the prompt parts of a comma-separated list of ID:TOKENS, skipping malformed ones.

    Raise `BadCall` for a number of tokens that cannot be read.
    """
    parts = []
    for item in value.decode("latin-1").split(","):
        name, separator, tokens = item.strip().partition(":")
        if separator and tokens.isdigit():
            parts.append(PromptPart(name, _parse_tokens(tokens)))
    return tuple(parts)


def _parse_tokens(text: str) -> int:
    """Return a number of tokens; raise `BadCall`."""
    try:
        return parse_integer(text)
    except ValueError as exc:
        raise BadCall("invalid_number", f"tokens of a prompt part: {exc}") from exc


def _parse_keep_alive_ms(value: bytes) -> int | None:
    """Return the time-out of a Keep-Alive field in milliseconds, or `None`."""
    for item in value.split(b","):
        name, _, span = item.strip().partition(b"=")
        if name.lower() == b"timeout":
            seconds = _parse_uint(span)
            return None if seconds is None else seconds * MS_PER_SECOND
    return None


def _parse_load(value: bytes) -> ReplicaLoad | None:
    """Return the load in a field of the form RUNNING,WAITING,SLOTS[,PERCENT], or `None`.

    What follows the known figures, or a fourth one that is no number, does not invalidate the rest.
    """
    numbers = [_parse_uint(item) for item in value.split(b",")[:MAX_LOAD_FIELDS]]
    if len(numbers) < REQUIRED_LOAD_FIELDS or None in numbers[:REQUIRED_LOAD_FIELDS]:
        return None
    required, further = numbers[:REQUIRED_LOAD_FIELDS], numbers[REQUIRED_LOAD_FIELDS:]
    percent = next((number for number in further if number), USUAL_WORK_PERCENT)
    return ReplicaLoad(*required, percent)
