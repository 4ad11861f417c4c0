"""JSON logs and the log line of each decision."""

import logging
import sys
from typing import Any

from pythonjsonlogger import json as json_logger


def configure(level: str) -> None:
    """Write log records as JSON lines to standard error.

    Args:
        level: Name of the lowest level to write, such as ``INFO``.
    """
    handler = logging.StreamHandler(sys.stderr)
    formatter = json_logger.JsonFormatter(
        "%(levelname)s %(name)s %(message)s",
        rename_fields={"levelname": "level", "name": "logger"},
        timestamp="time",
    )
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)
    logging.getLogger("websockets").setLevel(logging.WARNING)


def log_decision(logger: logging.Logger, kind: str, **fields: Any) -> None:
    """Write the log line of one decision.

    Args:
        logger: Logger of the deciding module.
        kind: Decision, such as ``route``, ``admit``, ``place`` or ``promote``.
        **fields: Inputs and reason of the decision.
    """
    logger.info(kind, extra={"decision": kind, **fields})
