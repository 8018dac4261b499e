#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python sources without
# dependencies, so this only compiles them.
cd "$(dirname "$0")" || exit 1
exec python3 -m compileall -q support-2 6 7 8 9 10
