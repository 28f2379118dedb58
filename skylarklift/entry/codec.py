"""What an edge must translate: clients' requests, requests to upstreams, their answers."""

from abc import ABC, abstractmethod

from skylarklift.clock import Millis
from skylarklift.entry.model import Call, Headers, ResponseHead, SendOptions
from skylarklift.errors import BadRequest


class BadCall(BadRequest):
    """A client's request that lacks what every request must have."""


class CallCodec(ABC):
    """The header fields of one kind of edge."""

    ready_path: bytes

    @abstractmethod
    def decode_call(self, method: bytes, target: bytes, headers: Headers, now: Millis) -> Call:
        """Return a client's request without its body; raise `BadCall`."""

    @abstractmethod
    def encode_send(self, call: Call, terms: SendOptions) -> Headers:
        """Return the header fields of a request to an upstream, without its framing."""

    @abstractmethod
    def decode_answer(self, status: int, headers: Headers) -> ResponseHead:
        """Return the head of an upstream's answer."""
