"""How the platform's replicas answer questions about their process."""

from skylarklift.entry.requests.status_format import StatusFormat
from skylarklift.util.bounded import checked_integer, parse_json


class PlatformStatusFormat(StatusFormat):
    """The report that each replica of a model serves."""

    target = b"/-/report"

    def decode_started_ms(self, body: bytes) -> int | None:
        """Return when the process started, `None` if the report does not say so."""
        try:
            value = parse_json(body)
            return checked_integer(value["born"]) if isinstance(value, dict) else None
        except (ValueError, TypeError, KeyError):
            return None
