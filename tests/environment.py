"""Hooks that behave calls around each scenario."""

from __future__ import annotations

import contextlib
import types


def before_feature(context, feature):
    context.feature_stack = contextlib.ExitStack()
    context.kept = types.SimpleNamespace()


def after_feature(context, feature):
    context.feature_stack.close()


def before_scenario(context, scenario):
    context.stack = contextlib.ExitStack()


def after_scenario(context, scenario):
    context.stack.close()
