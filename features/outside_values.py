"""Sound header fields, and answers of the store, that tests change to odd ones."""

from skylarklift.errors import (
    StoreError,
)
from skylarklift.platform.headers import PlatformHeaderCodec

LONG = "9" * 5000
DEEP = "[" * 100_000
CODEC = PlatformHeaderCodec()
REQUEST_HEADERS = {
    "host": "app.example",
    "x-attempt-id": "q1",
    "x-api-key": "k1",
    "x-deadline-ms": "3000",
    "last-event-id": "4",
    "x-prefix-hash": "aa:10,bb:20",
    "resumes": "q0",
}
ANSWER_HEADERS = {
    "x-attempt-id": "q1",
    "x-replica-signature": "s",
    "x-replica-load": "3,0,8",
    "x-cold-start-ms": "100",
    "keep-alive": "timeout=5",
    "retry-after": "1",
    "server-limit": "5",
    "server-brittle": "3",
    "content-length": "2",
}


def encode_headers(headers, **changed):
    """Return header fields as bytes; `_` in the names of changed ones stands for `-`."""
    fields = {**headers, **{name.replace("_", "-"): value for name, value in changed.items()}}
    return [(name.encode(), str(value).encode("latin-1")) for name, value in fields.items()]


def answer_call(store, status, headers, text):
    """Return a replacement of the store's calls that answers always the same."""

    async def call(*arguments, **options):
        try:
            return store._decode_answer(status, headers, text)
        except ValueError as exc:
            raise StoreError(str(exc)) from exc

    return call
