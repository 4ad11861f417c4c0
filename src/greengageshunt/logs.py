"""JSON logs and the log line of each decision."""

import logging
import sys
from typing import Any

from pythonjsonlogger import json as json_logger


def configure(level: str) -> None:
    """Write log records as JSON lines to standard error.

    The lines do not show the calling function, thread and process, so the
    logging module need not look for them.

    Args:
        level: Name of the lowest level to write, such as ``INFO``.
    """
    logging._srcfile = None
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
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


def log_decision(
    logger: logging.Logger, kind: str, *, level: int = logging.INFO, **fields: Any
) -> None:
    """Write the log line of one decision.

    Args:
        logger: Logger of the deciding module.
        kind: Decision, such as ``route``, ``admit``, ``place`` or ``promote``.
        level: Level of the line.
        **fields: Inputs and reason of the decision.
    """
    if logger.isEnabledFor(level):
        logger.log(level, kind, extra={"decision": kind, **fields})
