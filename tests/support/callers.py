"""An HTTP caller that sends its newest session token with each request."""

import dataclasses
from typing import Any

import aiohttp


@dataclasses.dataclass(frozen=True, kw_only=True)
class Response:
    """Response to one HTTP request."""

    status: int
    document: dict[str, Any]
    token: str

    @property
    def rows(self) -> list[list[Any]]:
        """Rows in the response document."""
        return self.document["rows"]


class Caller:
    """Sends requests with one API key and the session token of the newest response."""

    def __init__(self, *, session: aiohttp.ClientSession, key: str) -> None:
        self._session = session
        self._key = key
        self._token = ""

    @property
    def token(self) -> str:
        """Session token of the newest response, empty before the first one."""
        return self._token

    async def call(
        self,
        address: str,
        route: str,
        *,
        request_id: str = "",
        timeout_ms: int = 5000,
        transaction: str = "",
        **parameters: Any,
    ) -> Response:
        """Run a route through the proxy at an address."""
        headers = self._headers(timeout_ms, request_id)
        body: dict[str, Any] = {"parameters": parameters}
        if transaction:
            body["transaction"] = transaction
        url = f"http://{address}/v1/routes/{route}"
        return await self._send("POST", url, headers, body)

    async def look_up(
        self, address: str, route: str, request_id: str, timeout_ms: int = 5000
    ) -> Response:
        """Request the outcome that is stored for a request id."""
        url = f"http://{address}/v1/requests/{route}/{request_id}"
        return await self._send("GET", url, self._headers(timeout_ms), None)

    async def begin(self, address: str, group: str, timeout_ms: int = 5000) -> Response:
        """Open a transaction."""
        url = f"http://{address}/v1/transactions"
        return await self._send("POST", url, self._headers(timeout_ms), {"group": group})

    async def end(
        self,
        address: str,
        transaction: str,
        verb: str,
        *,
        request_id: str = "",
        timeout_ms: int = 5000,
    ) -> Response:
        """Commit or roll back a transaction."""
        url = f"http://{address}/v1/transactions/{transaction}/{verb}"
        return await self._send("POST", url, self._headers(timeout_ms, request_id), None)

    def _headers(self, timeout_ms: int, request_id: str = "") -> dict[str, str]:
        headers = {"Timeout-Ms": str(timeout_ms), "Session-Token": self._token}
        if self._key:
            headers["Authorization"] = f"Bearer {self._key}"
        if request_id:
            headers["Request-Id"] = request_id
        return headers

    async def _send(
        self, method: str, url: str, headers: dict[str, str], body: dict[str, Any] | None
    ) -> Response:
        async with self._session.request(method, url, json=body, headers=headers) as response:
            self._token = response.headers.get("Session-Token", self._token)
            return Response(
                status=response.status, document=await response.json(), token=self._token
            )
