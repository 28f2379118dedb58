"""Read numbers and text that other processes send, within bounds that every later step can hold."""

import json
from math import isfinite
from typing import Any

# Larger integers are not exact in JSON, and some do not fit into messages between routers.
MAX_INTEGER = 2**53 - 1
# Hashes have 64 bits.
MAX_HASH = 2**64 - 1
# Rates and spans above this mean the same as this.
MAX_DECIMAL = 1e9


def parse_integer(text: str | bytes, most: int = MAX_INTEGER) -> int:
    """Return the integer written in ASCII digits; raise `ValueError` for others and too large ones.

    The number of digits is checked first: Python refuses to convert very many.
    """
    if isinstance(text, bytes):
        text = text.decode("latin-1")
    if not (text.isascii() and text.isdigit()):
        raise ValueError(f"{text[:40]!r} is not a number in digits")
    significant = text.lstrip("0")
    if len(significant) > len(str(most)) or int(significant or "0") > most:
        raise ValueError(f"a number of {len(significant)} digits exceeds {most}")
    return int(significant or "0")


def parse_decimal(text: bytes) -> float:
    """Return a non-negative decimal number, `MAX_DECIMAL` at most; raise `ValueError`."""
    number = float(text)
    if not isfinite(number) or number < 0:
        raise ValueError(f"{text[:40]!r} is no finite non-negative number")
    return min(number, MAX_DECIMAL)


def parse_json(data: str | bytes) -> Any:
    """Return the value of a JSON text; raise `ValueError`, also if it is nested too deeply."""
    try:
        return json.loads(data)
    except RecursionError as exc:
        raise ValueError("nested too deeply") from exc


def checked_integer(value: Any, least: int = 0, most: int = MAX_INTEGER) -> int:
    """Return the whole part of a decoded number; raise `ValueError` if it is none or out of range.

    NaN is out of any range.
    """
    if type(value) is int and least <= value <= most:
        return value
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise ValueError(f"{type(value).__name__} in place of a number")
    if not least <= value <= most:
        raise ValueError(f"a number is outside of {least} to {most}")
    return int(value)


def checked_decimal(value: Any, most: float = MAX_DECIMAL) -> float:
    """Return a decoded non-negative number, `most` at most; raise `ValueError`."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise ValueError(f"{type(value).__name__} in place of a number")
    if not 0 <= value < float("inf"):
        raise ValueError("a number is negative or not finite")
    return float(min(value, most))


def checked_text(value: Any) -> str:
    """Return a decoded text; raise `ValueError` if it is none or cannot be encoded again.

    JSON may hold half a surrogate pair.
    """
    if not isinstance(value, str):
        raise ValueError(f"{type(value).__name__} in place of a text")
    if not value.isascii():
        value.encode()
    return value


def checked_list(value: Any) -> list | tuple:
    """Return a decoded list; raise `ValueError` for a value of another type."""
    if not isinstance(value, (list, tuple)):
        raise ValueError(f"{type(value).__name__} in place of a list")
    return value


def checked_age(value: Any) -> int:
    """Return a span in milliseconds, 0 for a negative one; raise `ValueError`."""
    return max(0, checked_integer(value, -MAX_INTEGER))
