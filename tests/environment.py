"""Hooks that behave calls around each scenario."""

from __future__ import annotations

import contextlib
import types

from tests.support import process_logs


def before_feature(context, feature):
    context.feature_stack = contextlib.ExitStack()
    context.kept = types.SimpleNamespace()


def after_feature(context, feature):
    context.feature_stack.close()


def before_scenario(context, scenario):
    context.stack = contextlib.ExitStack()


def after_step(context, step):
    if step.has_failed():
        print(f"\n{step.keyword} {step.name}: what the processes said last")
        print("\n".join(process_logs.last_words()), flush=True)


def after_scenario(context, scenario):
    context.stack.close()
    if scenario.status.has_failed():
        forget_kept(context)


def forget_kept(context):
    """Ends what a failed scenario leaves, so that it fails alone."""
    context.kept.__dict__.clear()
    stack = context.feature_stack.pop_all()
    stack.close()
