"""Hooks that behave calls around each scenario."""

from __future__ import annotations

import contextlib


def before_scenario(context, scenario):
    context.stack = contextlib.ExitStack()


def after_scenario(context, scenario):
    context.stack.close()
