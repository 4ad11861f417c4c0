"""Client of the platform's metadata store."""

import base64
import binascii
import json
import logging
import urllib.parse
from typing import Any

from greengageshunt import application, config, errors
from greengageshunt.coordination import records
from greengageshunt.platform import decoding
from greengageshunt.stores import connection, rows

logger = logging.getLogger(__name__)

# Seconds to wait for an answer, beyond the time for which the store holds a watching call.
CALL_TIMEOUT = 1.0

# Table of the rows that the product writes.
CONTROL_TABLE = "greengageshunt"

_TABLES = {
    records.Section.CONFIGURATION: "op",
    records.Section.TARGETS: "servers",
    records.Section.CONTROL: CONTROL_TABLE,
}

_CONFIGURATION_KEY = "config"

# Answers that say that the call had no effect.
_OVERLOADED = (429, 503)


class _StoreClock:
    """Relates the store's steady clock, ``now-ms`` in its answers, to the own one.

    The store was read after the sending of a call, so the largest difference
    seen is a lower bound, and times from it are never too late.
    """

    def __init__(self) -> None:
        self._offset: float | None = None
        self._latest = 0.0

    def local(self, now_ms: Any, sent_at: float, received_at: float) -> float:
        """Return own monotonic seconds at or before which the store answered."""
        if not isinstance(now_ms, int | float):
            return sent_at
        seconds = now_ms / 1000.0
        difference = sent_at - seconds
        if self._offset is None or seconds < self._latest:
            # The store's clock started anew.
            self._offset = difference
        self._latest = seconds
        self._offset = max(self._offset, difference)
        return max(sent_at, min(seconds + self._offset, received_at))


class TableStore:
    """Reads, watches and writes the store's rows."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._caller = connection.HttpCaller(address=app.settings["store.address"])
        self._clock = _StoreClock()

    async def read(self, section: records.Section) -> records.Changes:
        """Return all rows of a section.

        Raises:
            PlatformError: The store did not answer.
        """
        found: list[Any] = []
        version, as_of, start = 0, 0.0, ""
        while True:
            query = {"table": _TABLES[section], "part": "", "limit": 500}
            if start:
                query["from-rev"] = start
            answer, read_at = await self._get("/rows-get", query, CALL_TIMEOUT)
            found.extend(answer["rows"])
            if not version:
                # Later pages show later states; the feed repeats what changed meanwhile.
                version, as_of = answer["row-version"], read_at
            if not answer.get("has-more"):
                break
            start = found[-1]["key"] + "\0"
        return self._changes(section, found, version=version, as_of=as_of, is_snapshot=True)

    async def changes(self, section: records.Section, after: int, wait: float) -> records.Changes:
        """Return what changed in a section since a version, as soon as something has.

        Args:
            section: The section.
            after: Version up to which the caller knows everything.
            wait: Seconds after which the store answers without a change.

        Raises:
            HistoryLostError: The store no longer has these changes.
            PlatformError: The store did not answer.
        """
        query = {"table": _TABLES[section], "after": after, "wait-ms": int(wait * 1000)}
        answer, as_of = await self._get("/rows-feed", query, wait + CALL_TIMEOUT)
        version = answer["row-version"]
        return self._changes(
            section, answer["rows"], version=version, as_of=as_of, is_snapshot=False
        )

    async def put_row(self, key: str, value: Any, etag: str | None) -> rows.Row | rows.Conflict:
        """Write a row of the control table if it still has the given version.

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
        version = await self._write(key, entries)
        if version is None:
            return rows.Conflict(key=key)
        return rows.Row(key=key, value=value, etag=str(version))

    async def delete_row(self, key: str, etag: str) -> None:
        """Delete a row of the control table if it still has the given version.

        Raises:
            PlatformError: The store did not answer; the row may be deleted.
        """
        row = {"table": CONTROL_TABLE, "part": "", "key": key}
        expected = [{**row, "row-version": int(etag)}]
        await self._write(key, {"expected": expected, "set-keys": [], "delete-keys": [row]})

    async def _write(self, key: str, entries: dict[str, Any]) -> int | None:
        """Return the version of a transaction, or None if its condition does not hold."""
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
            unknown = response.status not in _OVERLOADED and response.status >= 500
            raise self._error(f"answered {response.status}", step, effect_unknown=unknown)
        return self._document(response.body, step)["row-version"]

    async def _get(
        self, path: str, query: dict[str, Any], timeout: float
    ) -> tuple[dict[str, Any], float]:
        """Return the answer, and the monotonic seconds as of which it holds."""
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
            raise self._error(str(error), step, effect_unknown=False) from error
        if response.status == 410:
            raise errors.HistoryLostError(
                "the store dropped its history", step=step, peer=self._caller.address
            )
        if response.status != 200:
            raise self._error(f"answered {response.status}", step, effect_unknown=False)
        document = self._document(response.body, step)
        local = self._clock.local(document.get("now-ms"), sent_at, self._app.clock())
        return document, local

    async def _call(
        self, name: str, method: str, path: str, *, timeout: float, body: bytes = b""
    ) -> connection.Response:
        """Call the store, and count the call by its result.

        Raises:
            CallError: No answer.
        """
        counted = "no answer"
        try:
            response = await self._caller.call(method, path, body=body, timeout=timeout)
            counted = str(response.status)
        finally:
            self._app.events.emit("store-called", (name, counted))
        return response

    def _document(self, body: bytes, step: str) -> dict[str, Any]:
        try:
            document = json.loads(body)
        except ValueError as error:
            raise self._error("answer is not JSON", step, effect_unknown=True) from error
        if not isinstance(document, dict) or not isinstance(document.get("row-version"), int):
            raise self._error("answer lacks a version", step, effect_unknown=True)
        return document

    def _error(self, message: str, step: str, *, effect_unknown: bool) -> errors.PlatformError:
        return errors.PlatformError(
            message, step=step, peer=self._caller.address, effect_unknown=effect_unknown
        )

    def _changes(
        self,
        section: records.Section,
        found: list[Any],
        *,
        version: int,
        as_of: float,
        is_snapshot: bool,
    ) -> records.Changes:
        # The feed names a row once for each of its changes; the last one holds.
        newest = {row["key"]: row for row in found}
        removed = tuple(key for key, row in newest.items() if row.get("tombstone"))
        kept = {key: row for key, row in newest.items() if not row.get("tombstone")}
        configuration, decoded = None, ()
        if section is records.Section.CONFIGURATION:
            configuration = _configuration(kept.get(_CONFIGURATION_KEY))
        else:
            decode = _target if section is records.Section.TARGETS else _control
            decoded = tuple(decode(row) for row in kept.values())
        return records.Changes(
            is_snapshot=is_snapshot,
            rows=decoded,
            removed=removed,
            version=version,
            as_of=as_of,
            configuration=configuration,
        )


def _value(row: dict[str, Any]) -> str:
    return base64.b64decode(row["value"], validate=True).decode()


def _configuration(row: dict[str, Any] | None) -> Any:
    if row is None:
        return None
    try:
        return decoding.configuration_of(json.loads(_value(row)))
    except (ValueError, TypeError, KeyError, binascii.Error, decoding.DecodeError) as error:
        logger.error("configuration is unreadable", extra={"reason": str(error)})
        return None


def _target(row: dict[str, Any]) -> records.TargetRow:
    try:
        entry = decoding.target_of(row["key"], json.loads(_value(row)))
    except (ValueError, TypeError, KeyError, binascii.Error, decoding.DecodeError) as error:
        fields = {"key": row.get("key"), "reason": str(error)}
        logger.warning("target entry is unreadable", extra=fields)
        entry = None
    return records.TargetRow(key=row["key"], version=row["row-version"], entry=entry)


def _control(row: dict[str, Any]) -> records.ControlRow:
    try:
        value = _value(row)
    except (ValueError, KeyError, binascii.Error) as error:
        fields = {"key": row.get("key"), "reason": str(error)}
        logger.warning("control row is unreadable", extra=fields)
        value = ""
    return records.ControlRow(key=row["key"], version=row["row-version"], value=value)


def setup(app: application.Application) -> None:
    """Register the client of the store."""
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
