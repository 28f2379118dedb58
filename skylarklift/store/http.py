"""HTTP client of the platform's store: JSON bodies and conditional writes.

Status 409 reports a failed condition; 429 and 503 report a call that had no effect.
After any other failure it is unknown whether a write that was sent took effect.
"""

from typing import Any
from urllib.parse import quote

import httpx

from skylarklift.clock import MS_PER_SECOND
from skylarklift.errors import StoreAnswerLost, StoreConflict, StoreUnavailable
from skylarklift.store.base import (
    VM,
    ObjectStore,
    Row,
    TableStore,
    VMList,
    Write,
    WriteResult,
)

NO_EFFECT_STATUSES = (429, 503)


class HttpStore(TableStore, ObjectStore, VMList):
    """The table service, object store and VM list behind one base URL."""

    def __init__(self, base_url: str, timeout_ms: int):
        self._client = httpx.AsyncClient(
            base_url=base_url, timeout=timeout_ms / MS_PER_SECOND, trust_env=False
        )

    async def close(self) -> None:
        """Close the HTTP client's connections."""
        await self._client.aclose()

    async def read(self, key: str) -> Row | None:
        """Read one row."""
        response = await self._call("GET", f"/table/rows/{quote(key, safe='')}")
        if response.status_code == 404:
            return None
        return _decode_row(response.json())

    async def read_prefix(self, prefix: str) -> list[Row]:
        """Read all rows whose key starts with `prefix`."""
        response = await self._call("GET", "/table/rows", params={"prefix": prefix})
        return [_decode_row(item) for item in response.json()["rows"]]

    async def transact(self, writes: list[Write]) -> list[int]:
        """Write all rows or none."""
        body = {"writes": [_encode_write(item) for item in writes]}
        response = await self._call("POST", "/table/transaction", json=body)
        answer = response.json()
        if response.status_code == 409:
            raise StoreConflict({key: _decode_row(row) for key, row in answer["rows"].items()})
        return answer["versions"]

    async def write_each(self, writes: list[Write]) -> list[WriteResult]:
        """Write each row independently, in one call."""
        body = {"writes": [_encode_write(item) for item in writes]}
        response = await self._call("POST", "/table/batch", json=body)
        return [
            WriteResult(item["done"], item["version"], _decode_row(item["row"]))
            for item in response.json()["results"]
        ]

    async def get(self, key: str) -> bytes | None:
        """Read an object."""
        response = await self._call("GET", f"/objects/{quote(key, safe='')}")
        return None if response.status_code == 404 else response.content

    async def put(self, key: str, body: bytes) -> None:
        """Write an object."""
        await self._call("PUT", f"/objects/{quote(key, safe='')}", content=body)

    async def list_vms(self) -> list[VM]:
        """Read the VM list."""
        response = await self._call("GET", "/vms")
        return [VM(item["host"], item["leaving"]) for item in response.json()["vms"]]

    async def _call(self, method: str, path: str, **options: Any) -> httpx.Response:
        """Send one request; return its response, or raise a `StoreError`.

        A `GET` without a response raises `StoreUnavailable`, since it changes nothing.
        """
        try:
            response = await self._client.request(method, path, **options)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as exc:
            raise StoreUnavailable(str(exc) or type(exc).__name__) from exc
        except httpx.HTTPError as exc:
            if method == "GET":
                raise StoreUnavailable(str(exc) or type(exc).__name__) from exc
            raise StoreAnswerLost(str(exc) or type(exc).__name__) from exc
        if response.status_code in NO_EFFECT_STATUSES:
            raise StoreUnavailable(f"status {response.status_code}")
        if response.status_code >= 500:
            raise StoreAnswerLost(f"status {response.status_code}")
        return response


def _decode_row(item: dict | None) -> Row | None:
    """Decode a row from its JSON object."""
    return None if item is None else Row(item["key"], item["value"], item["version"])


def _encode_write(item: Write) -> dict:
    """Encode a write as a JSON object."""
    return {
        "key": item.key,
        "value": item.value,
        "expect": item.expect,
        "keep_ms": item.keep_ms,
        "delete": item.value is None,
    }
