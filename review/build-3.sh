#!/bin/sh
# The stand-ins of the scripts are Python programs of the standard library.
cd "$(dirname "$0")/support-3" || exit 1
exec python3 -m py_compile harness.py engines.py
