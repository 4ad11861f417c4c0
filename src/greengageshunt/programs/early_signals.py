"""Handles signals while a daemon loads its modules, which takes some tenths of a second."""

import os
import signal


def install() -> None:
    """Handle SIGHUP and SIGTERM until the event loop does; by default both end the process.

    SIGHUP is ignored, because the settings are read later. SIGTERM is a planned stop of a process
    that has nothing to finish yet, so the exit code is 0.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
