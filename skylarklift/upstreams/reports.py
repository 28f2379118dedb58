"""Fetch the load reports of engines."""

from dataclasses import dataclass

import httpx

from skylarklift.clock import MS_PER_SECOND
from skylarklift.logger import FAILURES
from skylarklift.util.bounded import checked_integer, parse_json

REPORT_TIMEOUT_MS = 1000


@dataclass(frozen=True)
class LoadReport:
    """The load of an engine as measured `age_ms` ago."""

    running: int
    boot: str
    age_ms: int


class LoadReportClient:
    """Fetch load reports over connections of its own."""

    def __init__(self):
        timeout = httpx.Timeout(REPORT_TIMEOUT_MS / MS_PER_SECOND)
        self._extensions = {"timeout": timeout.as_dict()}
        self._transport = httpx.AsyncHTTPTransport()

    async def close(self) -> None:
        """Close all connections."""
        await self._transport.aclose()

    async def read(self, url: str) -> LoadReport | None:
        """Return an engine's load report, or `None` if it cannot be fetched or parsed."""
        try:
            request = httpx.Request("GET", f"{url}/load", extensions=self._extensions)
            response = await self._transport.handle_async_request(request)
            await response.aread()
            await response.aclose()
            body = parse_json(response.content)
            return LoadReport(
                checked_integer(body["running"]), str(body["boot"]), checked_integer(body["age_ms"])
            )
        except (httpx.HTTPError, ValueError, KeyError, TypeError) as exc:
            FAILURES.record("load_report_read_failed", exc, url=url)
            return None
