"""Starts the program of an entry VM from the folder of the build."""

import os
import sys

_ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(_ROOT, "target", "deps"))

from greengageshunt.programs import early_signals

early_signals.install()

from greengageshunt.programs import entry

entry.main()
