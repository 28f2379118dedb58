"""Base classes of all generated types, and the tags of messages between routers.

A message is encoded as a msgpack array that starts with the tag number of its type,
so field names are not sent.  Records (settings, routing, table rows) are JSON
objects and reject unknown keys.
"""

import msgspec

MESSAGE_TAGS = {
    "Hello": 1,
    "Challenge": 2,
    "Proof": 3,
    "Failure": 4,
    "Pull": 5,
    "PullReply": 6,
    "Suspicions": 7,
    "SuspicionEntry": 8,
    "Fetch": 9,
    "FetchReply": 10,
    "Snapshot": 11,
    "Vote": 12,
    "VoteReply": 13,
    "Unvote": 14,
    "Prepare": 15,
    "Prepared": 16,
    "Ask": 17,
    "Granted": 18,
    "Refused": 19,
    "Release": 20,
    "Inventory": 21,
    "InventoryReply": 22,
    "GrantEntry": 23,
    "Crash": 24,
    "Done": 25,
    "ReleaseEntry": 26,
    "Withdraw": 27,
    "StatusAsk": 28,
    "StatusReply": 29,
}


def message_tag(name: str) -> int:
    """Return the tag number of the message class `name`; 0 for base classes."""
    return MESSAGE_TAGS.get(name, 0)


class Message(msgspec.Struct, array_like=True, tag=message_tag):
    """Base class of messages between routers."""


class Record(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Base class of records: settings, routing configuration, API bodies and table rows."""
