"""Client of the platform over HTTP, with conditional writes by ETag and If-Match."""

import json
import urllib.parse
from collections import abc
from typing import Any

import aiohttp

from greengageshunt import application, codec, config, errors, model
from greengageshunt.stores import rows

# Seconds. A confirmation is valid for 4 s. This time-out is shorter, so that a response that
# arrives just in time still renews the confirmation before it expires.
REQUEST_TIMEOUT = 3.0


class HttpPlatform:
    """Reads and writes rows and objects, and lists entry VMs."""

    def __init__(
        self,
        *,
        address: str,
        vm: str,
        timeout: float = REQUEST_TIMEOUT,
    ) -> None:
        self._base = f"http://{address}"
        self._address = address
        self._vm = vm
        self._timeout = timeout
        self._session: aiohttp.ClientSession | None = None

    @property
    def address(self) -> str:
        """``host:port`` of the platform."""
        return self._address

    async def get_row(self, key: str) -> rows.Row | None:
        """Return a row, or None if it does not exist.

        Raises:
            PlatformError: The platform did not answer.
        """
        status, headers, body = await self._request("GET", f"/rows/{_quote(key)}")
        if status == 404:
            return None
        return rows.Row(key=key, value=json.loads(body), etag=headers["ETag"])

    async def put_row(self, key: str, value: Any, etag: str | None) -> rows.Row | rows.Conflict:
        """Write a row if its version is still ``etag``.

        Args:
            key: Key of the row.
            value: JSON value.
            etag: Version that the row must have; None if it must not exist.

        Raises:
            PlatformError: The platform did not answer; the write may have taken
                effect, so read the row back before repeating it.
        """
        condition = {"If-None-Match": "*"} if etag is None else {"If-Match": etag}
        status, headers, _ = await self._request(
            "PUT", f"/rows/{_quote(key)}", data=json.dumps(value), headers=condition
        )
        if status == 412:
            return rows.Conflict(key=key)
        return rows.Row(key=key, value=value, etag=headers["ETag"])

    async def list_rows(self, prefix: str) -> tuple[rows.Row, ...]:
        """Return all rows whose key begins with a prefix.

        Raises:
            PlatformError: The platform did not answer.
        """
        _, _, body = await self._request("GET", f"/rows?prefix={_quote(prefix)}")
        return tuple(rows.Row(**row) for row in json.loads(body))

    async def get_object(self, name: str) -> bytes | None:
        """Return an object, or None if it does not exist.

        Raises:
            PlatformError: The platform did not answer.
        """
        status, _, body = await self._request("GET", f"/objects/{_quote(name)}")
        return None if status == 404 else body

    async def put_object(self, name: str, data: bytes) -> None:
        """Write an object.

        Raises:
            PlatformError: The platform did not answer; the write may have taken effect.
        """
        await self._request("PUT", f"/objects/{_quote(name)}", data=data)

    async def list_vms(self) -> tuple[model.Member, ...]:
        """Return the platform's list of entry VMs, which lags behind the actual ones.

        Raises:
            PlatformError: The platform did not answer.
        """
        _, _, body = await self._request("GET", "/vms")
        return tuple(codec.from_plain(entry, model.Member) for entry in json.loads(body))

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    async def _request(
        self,
        method: str,
        path: str,
        *,
        data: bytes | str | None = None,
        headers: abc.Mapping[str, str] | None = None,
    ) -> tuple[int, abc.Mapping[str, str], bytes]:
        if self._session is None:
            timeout = aiohttp.ClientTimeout(total=self._timeout)
            # As a response names no request, a repeated one would count as that to the next request
            # on its connection.
            connector = aiohttp.TCPConnector(force_close=True)
            self._session = aiohttp.ClientSession(
                connector=connector, timeout=timeout, headers={"Vm": self._vm}
            )
        step = f"{method} {path}"
        try:
            async with self._session.request(
                method, self._base + path, data=data, headers=headers
            ) as response:
                body = await response.read()
        except (TimeoutError, aiohttp.ClientError) as error:
            raise errors.PlatformError(
                f"platform did not answer: {type(error).__name__}",
                step=step,
                peer=self._address,
                effect_unknown=method == "PUT",
            ) from error
        if response.status >= 500:
            raise errors.PlatformError(
                f"platform answered {response.status}",
                step=step,
                peer=self._address,
                effect_unknown=method == "PUT",
            )
        return response.status, response.headers, body


def _quote(text: str) -> str:
    """Return a key as one segment of a path, or as a value of a query."""
    return urllib.parse.quote(text, safe="")


def setup(app: application.Application) -> None:
    """Register the HTTP platform client."""
    app.add_setting(
        config.Setting(
            key="platform.address",
            kind=str,
            doc="Address of the platform's HTTP interface.",
            check=config.is_address,
        )
    )
    app.add_setting(
        config.Setting(
            key="platform.timeout",
            kind=float,
            default=REQUEST_TIMEOUT,
            doc="Seconds after which a request to the platform counts as failed.",
            check=config.is_positive,
        )
    )
    app.add_part(
        "platform",
        "http",
        lambda app: HttpPlatform(
            address=app.settings["platform.address"],
            vm=app.settings["vm.name"],
            timeout=app.settings["platform.timeout"],
        ),
    )
