"""Rendezvous hashing: all routers compute the same order without a shared table."""

from collections.abc import Iterable

from xxhash import xxh3_64_hexdigest, xxh3_64_intdigest

from skylarklift.ids import ChatKey, Fingerprint

FINGERPRINT_MASK = 0xFFFFFFFF


def chat_key(workspace: str, chat: str) -> ChatKey:
    """Return the key by which a workspace's chat is placed."""
    return ChatKey(xxh3_64_intdigest(f"{workspace}\0{chat}".encode()))


def body_fingerprint(workspace: str, body: bytes) -> Fingerprint:
    """Return a nonzero 32-bit hash that is equal for equal requests of a workspace."""
    return Fingerprint(xxh3_64_intdigest(body, seed=len(workspace)) & FINGERPRINT_MASK or 1)


def name_hash(name: str) -> int:
    """Return a 32-bit hash of a name."""
    return xxh3_64_intdigest(name.encode()) & FINGERPRINT_MASK


def text_digest(text: str) -> str:
    """Return a 64-bit hash of a text in hexadecimal."""
    return xxh3_64_hexdigest(text.encode())


def rendezvous_order(key: int | str, names: Iterable[str]) -> list[str]:
    """Return the names in the order of preference for `key`."""
    return sorted(names, key=lambda name: (-rendezvous_weight(key, name), name))


def rendezvous_weight(key: int | str, name: str) -> int:
    """Return the weight of `name` for `key`; the largest is preferred."""
    return xxh3_64_intdigest(f"{key}\0{name}".encode())
