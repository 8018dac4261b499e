#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They need Python 3.11 only.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q support [1-5]
