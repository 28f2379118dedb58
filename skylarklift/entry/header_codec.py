"""What an edge must translate: clients' requests, requests to upstreams, their answers."""

from abc import ABC, abstractmethod

from skylarklift.clock import Millis
from skylarklift.entry.model import AnswerHead, Call, Headers, SendTerms
from skylarklift.errors import BadRequest


class BadCall(BadRequest):
    """A client's request that lacks what every request must have."""


class HeaderCodec(ABC):
    """The header fields of one kind of edge."""

    ready_path: bytes

    @abstractmethod
    def decode_request(self, method: bytes, target: bytes, headers: Headers, now: Millis) -> Call:
        """Return a client's request without its body; raise `BadCall`."""

    @abstractmethod
    def encode_upstream_headers(self, call: Call, options: SendTerms) -> Headers:
        """Return the header fields of a request to an upstream, without its framing."""

    @abstractmethod
    def decode_answer_head(self, status: int, headers: Headers) -> AnswerHead:
        """Return the head of an upstream's answer."""
