#!/usr/bin/env bash
# Runs the case; TROUBLE=0 leaves the losses out.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 case.py
