"""Encode the state of a roll-out as a row of the store, and the status for the operator."""

import json

from skylarklift.clock import Millis
from skylarklift.entry.rollouts.state import RolloutPhase, RolloutState
from skylarklift.ids import ServiceId, SoftwareVersion
from skylarklift.util.bounded import MAX_INTEGER, checked_integer, checked_text, parse_json


def encode_state(state: RolloutState, now: Millis, store_ms: int) -> bytes:
    """Return a state with its start in the time of the store's clock, which outlives routers."""
    return json.dumps(
        {
            "to": state.to,
            "order_version": state.order_version,
            "ordered_ms": store_ms - (now - state.ordered_at),
            "duration_ms": state.duration_ms,
            "phase": state.phase.value,
            "step": state.step,
        }
    ).encode()


def decode_state(
    service: ServiceId, data: bytes, now: Millis, store_ms: int
) -> RolloutState | None:
    """Return the state in a row, `None` if it cannot be read."""
    try:
        value = parse_json(data)
        ordered_ms = checked_integer(value["ordered_ms"], -MAX_INTEGER)
        return RolloutState(
            service,
            SoftwareVersion(checked_text(value["to"])),
            checked_integer(value["order_version"]),
            Millis(now - max(0, store_ms - ordered_ms)),
            checked_integer(value["duration_ms"], 1),
            RolloutPhase(value["phase"]),
            checked_integer(value["step"]),
        )
    except (ValueError, TypeError, KeyError):
        return None


def encode_status(state: RolloutState) -> bytes:
    """Return the row that tells the operator how far a roll-out is."""
    return json.dumps({"state": state.phase.value, "to": state.to}).encode()
