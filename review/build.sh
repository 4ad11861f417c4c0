#!/bin/sh
# Compiles the stand-ins that the scripts of the cases start. They need the standard library only.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins
