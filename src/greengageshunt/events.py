"""Publishes named events to subscribers through reactivex subjects."""

import collections
import logging
from collections import abc
from typing import Any

import reactivex
from reactivex import abc as reactivex_abc

from greengageshunt import errors

logger = logging.getLogger(__name__)


class EventBus:
    """Calls the subscribers of an event synchronously, in the task that emits it.

    A subscriber that fails is logged and counted. The other subscribers and the emitting task,
    which would receive the error from ``reactivex``, go on.
    """

    def __init__(self) -> None:
        self._subjects: dict[str, reactivex.Subject[Any]] = {}
        self._failures: collections.Counter[str] = collections.Counter()

    @property
    def names(self) -> tuple[str, ...]:
        """Names of the declared events, sorted."""
        return tuple(sorted(self._subjects))

    @property
    def failures(self) -> abc.Mapping[str, int]:
        """Number of failures of subscribers, by event."""
        return self._failures

    def add(self, name: str) -> None:
        """Declare an event.

        Raises:
            RegistryError: The event is already declared.
        """
        if name in self._subjects:
            raise errors.RegistryError(f"event {name!r} is already declared")
        self._subjects[name] = reactivex.Subject()

    def stream(self, name: str) -> reactivex.Observable[Any]:
        """Return the observable of an event.

        Raises:
            RegistryError: The event is not declared.
        """
        return self._subject(name)

    def connect(
        self, name: str, callback: abc.Callable[[Any], None]
    ) -> reactivex_abc.DisposableBase:
        """Subscribe a callback to an event."""

        def deliver(payload: Any) -> None:
            try:
                callback(payload)
            except errors.InvariantError:
                raise
            except Exception:
                handler = getattr(callback, "__qualname__", repr(callback))
                logger.exception("event handler failed", extra={"event": name, "handler": handler})
                self._failures[name] += 1

        return self._subject(name).subscribe(deliver)

    def emit(self, name: str, payload: Any) -> None:
        """Deliver a payload to all subscribers of an event."""
        self._subject(name).on_next(payload)

    def _subject(self, name: str) -> reactivex.Subject[Any]:
        if name not in self._subjects:
            known = ", ".join(self.names) or "none"
            raise errors.RegistryError(f"unknown event {name!r}; declared: {known}")
        return self._subjects[name]
