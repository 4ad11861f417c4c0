"""Client of the platform's metadata store: reads, watches and conditional writes of rows."""

import base64
import json
import math
import urllib.parse
from collections import abc
from typing import Any

from returns import result

from greengageshunt import application, config, errors, model, unreadable
from greengageshunt.coordination import records
from greengageshunt.platform import decoding
from greengageshunt.stores import connection, rows

# Seconds to wait for a response. For a watch, they are added to the time for which the store
# may hold the request.
CALL_TIMEOUT = 1.0

# Table with the rows that the product itself writes.
CONTROL_TABLE = "greengageshunt"

_TABLES = {
    records.Section.CONFIGURATION: "op",
    records.Section.TARGETS: "servers",
    records.Section.CONTROL: CONTROL_TABLE,
}

_CONFIGURATION_KEY = "config"

# Header of each response with the era of the store.
_ERA_HEADER = "store-era"

# HTTP statuses with which the store rejects a request before it has any effect.
_REJECTED_UNPROCESSED = (429, 503)


class _StoreClock:
    """Converts the store's steady clock, ``now-ms`` in its responses, to the local clock.

    The store reads its clock after the request was sent. Each difference between the local
    time of sending and ``now-ms`` is therefore at most the true offset between the clocks.
    The largest one seen is the best estimate, and a converted time is never too late.
    """

    def __init__(self) -> None:
        self._offset: float | None = None
        self._latest_store_seconds = 0.0
        self._era = rows.FIRST_ERA

    def to_local(
        self, now_ms: Any, sent_at: float, received_at: float, era: int = rows.FIRST_ERA
    ) -> float:
        """Return the local monotonic seconds at or before which the store read its rows.

        Args:
            now_ms: Milliseconds on the store's clock; anything but a finite number means that the
                response has none.
            sent_at: Local seconds at which the request was sent.
            received_at: Local seconds at which the response was received.
            era: Era of the response; each may have a clock of its own.
        """
        if not isinstance(now_ms, int | float) or not math.isfinite(now_ms):
            return sent_at
        seconds = now_ms / 1000.0
        difference = sent_at - seconds
        went_back = seconds < self._latest_store_seconds  # the store was restarted
        if self._offset is None or went_back or era != self._era:
            self._offset = difference
        self._era = era
        self._latest_store_seconds = seconds
        self._offset = max(self._offset, difference)
        return max(sent_at, min(seconds + self._offset, received_at))


class TableStore:
    """Reads and watches the rows of all tables, and writes those of the control table."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._http_client = connection.HttpClient(address=app.settings["store.address"])
        self._clock = _StoreClock()
        self._unreadable: unreadable.UnreadableValues = app.part("decoding", "unreadable")

    async def read(self, section: records.Section) -> records.Changes:
        """Return all rows of a section.

        Raises:
            PlatformError: The store did not answer.
        """
        table_rows: list[Any] = []
        version, as_of, era, start = 0, 0.0, rows.FIRST_ERA, ""
        while True:
            query = {"table": _TABLES[section], "part": "", "limit": 500}
            if start:
                query["from-rev"] = start
            answer, read_at, page_era = await self._get("/rows-get", query, CALL_TIMEOUT)
            table_rows.extend(answer["rows"])
            if start and page_era != era:
                raise self._error(
                    f"era changed from {era} to {page_era} between two pages",
                    f"GET /rows-get {query['table']}",
                )
            era = page_era
            if not version:
                # Later pages may contain later changes. The watch starts from the version of
                # the first page and returns these changes once more.
                version, as_of = answer["row-version"], read_at
            if not answer.get("has-more"):
                break
            if not answer["rows"]:
                raise self._error(
                    "page without rows announces more", f"GET /rows-get {query['table']}"
                )
            start = table_rows[-1]["key"] + "\0"
        return self._decode_changes(
            section, table_rows, version=version, as_of=as_of, era=era, is_snapshot=True
        )

    async def changes(self, section: records.Section, after: int, wait: float) -> records.Changes:
        """Wait for changes of a section after a version, and return them.

        Args:
            section: The section.
            after: Version up to which the caller has all changes.
            wait: Seconds after which the store responds even without a change.

        Raises:
            HistoryLostError: The store no longer has the changes after this version.
            PlatformError: The store did not answer.
        """
        query = {"table": _TABLES[section], "after": after, "wait-ms": int(wait * 1000)}
        answer, as_of, era = await self._get("/rows-feed", query, wait + CALL_TIMEOUT)
        version = answer["row-version"]
        return self._decode_changes(
            section, answer["rows"], version=version, as_of=as_of, era=era, is_snapshot=False
        )

    async def put_row(self, key: str, value: Any, etag: str | None) -> rows.Row | rows.Conflict:
        """Write a row of the control table if its version is still ``etag``.

        Args:
            key: Key of the row.
            value: JSON value.
            etag: Version that the row must have; None if it must not exist.

        Raises:
            PlatformError: The store did not answer; the write may have taken effect.
        """
        text = json.dumps(value, sort_keys=True)
        row = {"table": CONTROL_TABLE, "part": "", "key": key}
        entries = {
            "expected": [{**row, "row-version": int(etag or 0)}],
            "set-keys": [{**row, "value": base64.b64encode(text.encode()).decode()}],
            "delete-keys": [],
        }
        written = await self._write(key, entries)
        if written is None:
            return rows.Conflict(key=key)
        version, era = written
        return rows.Row(key=key, value=value, etag=str(version), era=era)

    async def delete_row(self, key: str, etag: str) -> None:
        """Delete a row of the control table if its version is still ``etag``.

        Raises:
            PlatformError: The store did not answer; the row may be deleted.
        """
        row = {"table": CONTROL_TABLE, "part": "", "key": key}
        expected = [{**row, "row-version": int(etag)}]
        await self._write(key, {"expected": expected, "set-keys": [], "delete-keys": [row]})

    async def _write(self, key: str, entries: dict[str, Any]) -> tuple[int, int] | None:
        """Run a transaction of the store.

        Returns:
            The transaction's version and the store's era, or None if a condition fails.
        """
        step = f"write {key}"
        try:
            response = await self._call(
                "write", "POST", "/rows-tx", body=json.dumps(entries).encode(), timeout=CALL_TIMEOUT
            )
        except connection.CallError as error:
            raise self._error(str(error), step, effect_unknown=error.sent) from error
        if response.status == 412:
            return None
        if response.status != 200:
            unknown = response.status not in _REJECTED_UNPROCESSED and response.status >= 500
            raise self._error(
                f"responded with status {response.status}", step, effect_unknown=unknown
            )
        document, era = self._decode_response(response, step, decoding.decode_document, True)
        return document["row-version"], era

    async def _get(
        self, path: str, query: dict[str, Any], timeout: float
    ) -> tuple[dict[str, Any], float, int]:
        """Return the response, the local monotonic seconds as of which it holds, and its era."""
        step = f"GET {path} {query['table']}"
        sent_at = self._app.clock()
        try:
            response = await self._call(
                path.removeprefix("/rows-"),
                "GET",
                f"{path}?{urllib.parse.urlencode(query)}",
                timeout=timeout,
            )
        except connection.CallError as error:
            raise self._error(str(error), step) from error
        if response.status == 410:
            raise errors.HistoryLostError(
                "the store no longer has the requested changes",
                step=step,
                peer=self._http_client.address,
            )
        if response.status != 200:
            raise self._error(f"responded with status {response.status}", step)
        document, era = self._decode_response(response, step, decoding.decode_rows, False)
        as_of = self._clock.to_local(document.get("now-ms"), sent_at, self._app.clock(), era)
        return document, as_of, era

    async def _call(
        self, name: str, method: str, path: str, *, timeout: float, body: bytes = b""
    ) -> connection.Response:
        """Call the store, and emit an event with the status or ``no answer``.

        Raises:
            CallError: No response.
        """
        call_result = "no answer"
        try:
            response = await self._http_client.call(method, path, body=body, timeout=timeout)
            call_result = str(response.status)
        finally:
            self._app.events.emit("store-called", (name, call_result))
        return response

    def _decode_response(
        self,
        response: connection.Response,
        step: str,
        decode: abc.Callable[[bytes], dict[str, Any]],
        effect_unknown: bool,
    ) -> tuple[dict[str, Any], int]:
        """Return the document of a response and its era.

        Raises:
            PlatformError: The body or the header of the era cannot be decoded.
        """
        decoded = self._unreadable.decode(
            "responses",
            step,
            lambda: (decode(response.body), _era(response)),
            self._app.clock(),
        )
        if isinstance(decoded, result.Failure):
            error = decoded.failure()
            raise self._error(
                f"response cannot be decoded: {type(error).__name__}: {error}",
                step,
                effect_unknown=effect_unknown,
            ) from error
        return decoded.unwrap()

    def _error(
        self, message: str, step: str, *, effect_unknown: bool = False
    ) -> errors.PlatformError:
        return errors.PlatformError(
            message, step=step, peer=self._http_client.address, effect_unknown=effect_unknown
        )

    def _decode_changes(
        self,
        section: records.Section,
        returned_rows: list[Any],
        *,
        version: int,
        as_of: float,
        era: int,
        is_snapshot: bool,
    ) -> records.Changes:
        # The feed returns a row once for each of its changes; the last one is in force.
        newest = {row["key"]: row for row in returned_rows}
        removed = tuple(key for key, row in newest.items() if row.get("tombstone"))
        present = {key: row for key, row in newest.items() if not row.get("tombstone")}
        configuration, decoded = None, ()
        if section is records.Section.CONFIGURATION:
            row = present.get(_CONFIGURATION_KEY)
            if row is not None:
                configuration = self._decode_row(section, row, _decode_configuration)
        elif section is records.Section.TARGETS:
            decoded = tuple(
                records.TargetRow(
                    key=key,
                    version=row["row-version"],
                    entry=self._decode_row(section, row, _decode_target),
                    era=era,
                )
                for key, row in present.items()
            )
        else:
            decoded = tuple(
                records.ControlRow(
                    key=key,
                    version=row["row-version"],
                    value=self._decode_row(section, row, _decode_text) or "",
                    era=era,
                )
                for key, row in present.items()
            )
        return records.Changes(
            is_snapshot=is_snapshot,
            rows=decoded,
            removed=removed,
            version=version,
            as_of=as_of,
            era=era,
            configuration=configuration,
        )

    def _decode_row(
        self,
        section: records.Section,
        row: dict[str, Any],
        decode: abc.Callable[[dict[str, Any]], Any],
    ) -> Any:
        """Return the decoded value of a row, or None if it cannot be decoded."""
        return self._unreadable.decode(
            _TABLES[section], row["key"], lambda: decode(row), self._app.clock()
        ).value_or(None)


def _era(response: connection.Response) -> int:
    """Return the era of a response; a store that reports none was never restored."""
    text = response.headers.get(_ERA_HEADER, "")
    return int(text) if text.isdecimal() else rows.FIRST_ERA


def _decode_text(row: dict[str, Any]) -> str:
    return base64.b64decode(row["value"], validate=True).decode()


def _decode_configuration(row: dict[str, Any]) -> model.Configuration:
    return decoding.decode_configuration(json.loads(_decode_text(row)))


def _decode_target(row: dict[str, Any]) -> records.TargetEntry:
    return decoding.decode_target(row["key"], json.loads(_decode_text(row)))


def setup(app: application.Application) -> None:
    """Register the client of the store."""
    app.setup_extension("greengageshunt.unreadable")
    app.add_setting(
        config.Setting(
            key="store.address",
            kind=str,
            doc="Address of the platform's store.",
            check=config.is_address,
        )
    )
    app.add_event("store-called")
    app.add_part("platform", "table", lambda app: TableStore(app=app))
