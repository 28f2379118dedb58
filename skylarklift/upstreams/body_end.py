"""Decide whether a body that was read to the end of its connection is whole.

A body with a length or in chunks shows where it ends.  One without either ends with its
connection, and the kernel closes the connections of a process that dies in order.
"""

import httpx

from skylarklift.util.bounded import parse_json

JSON_TYPE = "application/json"
JSON_SUFFIX = "+json"
EMPTY_BODY_METHODS = ("HEAD",)
EMPTY_BODY_STATUSES = (204, 304)


def has_delimited_body(response: httpx.Response) -> bool:
    """Return whether the head of a response says how its body ends, or that it has none."""
    if response.request.method in EMPTY_BODY_METHODS:
        return True
    if response.status_code in EMPTY_BODY_STATUSES:
        return True
    return "content-length" in response.headers or "transfer-encoding" in response.headers


def is_whole_json(content_type: str, body: bytes) -> bool:
    """Return whether a body is a JSON object or array, which no part of one is."""
    media_type = content_type.partition(";")[0].strip().lower()
    if media_type != JSON_TYPE and not media_type.endswith(JSON_SUFFIX):
        return False
    try:
        return isinstance(parse_json(body), (dict, list))
    except ValueError:
        return False
