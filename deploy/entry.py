"""Starts the program of an entry VM from the folder of the build."""

# Until these handlers are set, both signals end the process. The interpreter has loaded these two
# modules at its start; the module ``signal`` takes some milliseconds to load.
import _signal
import posix

_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)
_signal.signal(_signal.SIGTERM, lambda *_: posix._exit(0))

import os
import sys

_ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(_ROOT, "target", "deps"))

from greengageshunt.programs import entry

entry.main()
