"""A caller over HTTP that keeps its session token."""

import dataclasses
from typing import Any

import aiohttp


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reply:
    """Answer to one HTTP request."""

    status: int
    document: dict[str, Any]
    token: str

    @property
    def rows(self) -> list[list[Any]]:
        """Rows of the answer."""
        return self.document["rows"]


class Caller:
    """Sends requests with one key; the session token follows from answer to request."""

    def __init__(self, *, session: aiohttp.ClientSession, key: str) -> None:
        self._session = session
        self._key = key
        self._token = ""

    @property
    def token(self) -> str:
        """Newest session token."""
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
    ) -> Reply:
        """Run a route through the proxy at an address."""
        headers = {"Timeout-Ms": str(timeout_ms), "Session-Token": self._token}
        if self._key:
            headers["Authorization"] = f"Bearer {self._key}"
        if request_id:
            headers["Request-Id"] = request_id
        body: dict[str, Any] = {"parameters": parameters}
        if transaction:
            body["transaction"] = transaction
        url = f"http://{address}/v1/routes/{route}"
        async with self._session.post(url, json=body, headers=headers) as response:
            self._token = response.headers.get("Session-Token", self._token)
            return Reply(status=response.status, document=await response.json(), token=self._token)
