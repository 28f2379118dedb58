"""Interface that translates between an environment's header fields and the router's types."""

from abc import ABC, abstractmethod

from skylarklift.clock import Millis
from skylarklift.entry.model import Call, Headers, ResponseHead, SendOptions
from skylarklift.errors import BadRequest


class BadCall(BadRequest):
    """A caller's request that lacks a required header field."""


class HeaderCodec(ABC):
    """Decode and encode the header fields of one environment.

    `ready_path` is the path of the readiness check.
    """

    ready_path: bytes

    @abstractmethod
    def decode_request(self, method: bytes, target: bytes, headers: Headers, now: Millis) -> Call:
        """Return a caller's request without its body; raise `BadCall`."""

    @abstractmethod
    def encode_upstream_headers(self, call: Call, options: SendOptions) -> Headers:
        """Return the header fields of a request to an upstream, without the body's length."""

    @abstractmethod
    def decode_response_head(self, status: int, headers: Headers) -> ResponseHead:
        """Return the head of an upstream's response."""
