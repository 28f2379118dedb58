"""Parse callers' requests from their headers and bodies.

Headers: ``Skylarklift-Workspace`` (required), ``Skylarklift-Chat``,
``Skylarklift-Deadline-Ms`` (the milliseconds left, not a point in time),
``Skylarklift-Priority``, ``Skylarklift-Non-Idempotent``, and the standard headers
``Idempotency-Key`` and ``traceparent``.
"""

import uuid
from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from skylarklift.clock import Clock, Millis
from skylarklift.errors import BadRequest
from skylarklift.generated import CallerSettings, Priority
from skylarklift.hashing import body_fingerprint, chat_key
from skylarklift.ids import ChatKey, Fingerprint, RequestId, WorkspaceId

WORKSPACE_HEADER = "Skylarklift-Workspace"
CHAT_HEADER = "Skylarklift-Chat"
DEADLINE_HEADER = "Skylarklift-Deadline-Ms"
PRIORITY_HEADER = "Skylarklift-Priority"
NON_IDEMPOTENT_HEADER = "Skylarklift-Non-Idempotent"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
TRACE_HEADER = "traceparent"

MAX_NAME_CHARACTERS = 256
TRUE_WORDS = ("true", "1", "yes")
FALSE_WORDS = ("", "false", "0", "no")


class ChatMessage(msgspec.Struct):
    """One message of a chat; its content is not parsed."""

    role: str
    content: msgspec.Raw = msgspec.Raw(b"null")


class ChatBody(msgspec.Struct):
    """The part of an OpenAI chat body that routing needs."""

    model: str
    messages: list[ChatMessage]
    stream: bool = False
    user: str = ""


@dataclass(frozen=True)
class CallerRequest:
    """The fields that chats and calls of plain services have in common."""

    request_id: RequestId
    workspace: WorkspaceId
    deadline: Millis
    priority: Priority
    non_idempotent: bool
    idempotency_key: str
    traceparent: str
    body: bytes
    fingerprint: Fingerprint

    def left_ms(self, clock: Clock) -> int:
        """Return the milliseconds left until the deadline."""
        return max(0, self.deadline - clock.now())


@dataclass(frozen=True)
class ChatRequest:
    """A request to complete a chat."""

    caller: CallerRequest
    chat: ChatKey
    model: str
    streamed: bool


def parse_caller_request(
    headers: Mapping[str, str], body: bytes, clock: Clock, cfg: CallerSettings
) -> CallerRequest:
    """Return the fields common to all requests; raise `BadRequest` with a stable code."""
    workspace = _parse_name(headers, WORKSPACE_HEADER)
    if not workspace:
        raise BadRequest("workspace_missing", f"header {WORKSPACE_HEADER} is missing")
    non_idempotent = _parse_flag(headers, NON_IDEMPOTENT_HEADER)
    key = _parse_name(headers, IDEMPOTENCY_KEY_HEADER)
    if non_idempotent and not key:
        text = f"a non-idempotent request needs the header {IDEMPOTENCY_KEY_HEADER}"
        raise BadRequest("idempotency_key_missing", text)
    return CallerRequest(
        request_id=RequestId(uuid.uuid4().hex),
        workspace=WorkspaceId(workspace),
        deadline=Millis(clock.now() + _parse_deadline_ms(headers, cfg)),
        priority=_parse_priority(headers),
        non_idempotent=non_idempotent,
        idempotency_key=key,
        traceparent=headers.get(TRACE_HEADER, ""),
        body=body,
        fingerprint=body_fingerprint(workspace, body),
    )


def parse_chat_request(caller: CallerRequest, headers: Mapping[str, str]) -> ChatRequest:
    """Return a chat request; raise `BadRequest` with a stable code.

    The chat is identified by the header, else by the body's `user`, else by the content
    of its first message.
    """
    try:
        parsed = msgspec.json.decode(caller.body, type=ChatBody)
    except msgspec.MsgspecError as exc:
        raise BadRequest("body_invalid", f"not a chat completion request: {exc}") from exc
    if not parsed.messages:
        raise BadRequest("body_invalid", "messages must not be empty")
    chat = (
        _parse_name(headers, CHAT_HEADER) or parsed.user or bytes(parsed.messages[0].content).hex()
    )
    return ChatRequest(caller, chat_key(caller.workspace, chat), parsed.model, parsed.stream)


def _parse_name(headers: Mapping[str, str], header: str) -> str:
    """Return a header's value as a printable name of limited length."""
    value = headers.get(header, "").strip()
    if len(value) > MAX_NAME_CHARACTERS or not value.isprintable():
        text = (
            f"header {header} must be printable and have at most {MAX_NAME_CHARACTERS} characters"
        )
        raise BadRequest("header_invalid", text)
    return value


def _parse_flag(headers: Mapping[str, str], header: str) -> bool:
    """Return a header's value as a boolean; false if the header is missing."""
    value = headers.get(header, "").strip().lower()
    if value in TRUE_WORDS:
        return True
    if value in FALSE_WORDS:
        return False
    raise BadRequest("header_invalid", f"header {header} must be true or false")


def _parse_deadline_ms(headers: Mapping[str, str], cfg: CallerSettings) -> int:
    """Return the milliseconds until the deadline, limited by the settings."""
    value = headers.get(DEADLINE_HEADER, "")
    if not value:
        return cfg.deadline_ms
    if not value.isdecimal() or not value.isascii() or len(value) > 9 or not int(value):
        raise BadRequest("header_invalid", f"header {DEADLINE_HEADER} must be milliseconds left")
    return min(int(value), cfg.deadline_ms)


def _parse_priority(headers: Mapping[str, str]) -> Priority:
    """Return the priority; normal if the header is missing."""
    value = headers.get(PRIORITY_HEADER, "") or Priority.NORMAL.value
    try:
        return Priority(value.lower())
    except ValueError as exc:
        known = ", ".join(item.value for item in Priority)
        raise BadRequest("header_invalid", f"header {PRIORITY_HEADER}: one of {known}") from exc
