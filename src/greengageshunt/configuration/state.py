"""The configuration in force on one entry VM."""

import logging

from greengageshunt import application, logs, model

logger = logging.getLogger(__name__)

EMPTY_CONFIGURATION = model.Configuration(
    version=0, accounts=(), keys=(), routes=(), token_secret=""
)


class ConfigurationState:
    """Holds the configuration in force; its version never decreases."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._current = EMPTY_CONFIGURATION

    @property
    def current(self) -> model.Configuration:
        """Configuration in force; ``EMPTY_CONFIGURATION`` before the first."""
        return self._current

    @property
    def version(self) -> int:
        """Version in force, 0 before the first."""
        return self._current.version

    def adopt(self, configuration: model.Configuration, source: str) -> bool:
        """Put a configuration into force if its version is newer; return whether it is.

        Args:
            configuration: Configuration.
            source: Name of the peer that sent it, ``platform`` or ``store``, for the log line.
        """
        if configuration.version <= self._current.version:
            return False
        previous = self._current
        self._current = configuration
        logs.log_decision(
            logger,
            "adopt-configuration",
            version=configuration.version,
            previous=previous.version,
            source=source,
        )
        self._app.events.emit("configuration-changed", configuration)
        return True


def setup(app: application.Application) -> None:
    """Register the configuration in force."""
    app.add_event("configuration-changed")
    app.add_part("configuration", "state", lambda app: ConfigurationState(app=app))
