"""The configuration in force on one entry VM."""

import logging

from greengageshunt import application, logs, model
from greengageshunt.stores import rows

logger = logging.getLogger(__name__)

EMPTY_CONFIGURATION = model.Configuration(
    version=0, accounts=(), keys=(), routes=(), token_secret=""
)


class ConfigurationState:
    """Holds the configuration in force; its version never decreases.

    That holds for a store, too, that was restored from an older copy: the operator writes what
    was lost again, and callers have already seen its effect.
    """

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._current = EMPTY_CONFIGURATION
        # Era of the store in which the configuration was read last.
        self._era = rows.FIRST_ERA
        self._kept_in_era = rows.FIRST_ERA

    @property
    def current(self) -> model.Configuration:
        """Configuration in force; ``EMPTY_CONFIGURATION`` before the first."""
        return self._current

    @property
    def version(self) -> int:
        """Version in force, 0 before the first."""
        return self._current.version

    def adopt(
        self, configuration: model.Configuration, source: str, era: int = rows.FIRST_ERA
    ) -> bool:
        """Put a configuration into force if it is newer; return whether it is.

        It is newer if its version is, or if its version was lost and written again with another
        content.

        Args:
            configuration: Configuration.
            source: Name of the peer that sent it, ``platform`` or ``store``, for the log line.
            era: Era of the store that holds it.
        """
        previous = self._current
        if configuration.version < previous.version:
            self._log_kept(configuration.version, era)
            return False
        if configuration.version == previous.version and (
            era <= self._era or configuration == previous
        ):
            self._era = max(era, self._era)
            return False
        self._era = era
        self._current = configuration
        logs.log_decision(
            logger,
            "adopt-configuration",
            version=configuration.version,
            previous=previous.version,
            source=source,
            era=era,
        )
        self._app.events.emit("configuration-changed", configuration)
        return True

    def _log_kept(self, stored: int, era: int) -> None:
        """Log, once for each era, that a restored store holds an older configuration."""
        if era <= self._kept_in_era:
            return
        self._kept_in_era = era
        logs.log_decision(
            logger, "keep-configuration", version=self.version, stored=stored, era=era
        )


def setup(app: application.Application) -> None:
    """Register the configuration in force."""
    app.add_event("configuration-changed")
    app.add_part("configuration", "state", lambda app: ConfigurationState(app=app))
