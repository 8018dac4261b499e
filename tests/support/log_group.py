"""Helpers of steps that use the members of a replicated log."""

from __future__ import annotations

from lycheering.replication import errors
from tests.replication import fakes

LONG_MS = 30_000
SHORT_MS = 500


def run(context, work):
    return context.runner.run(work)


def wait(context, condition, what):
    run(context, fakes.wait_for(condition, what))


def followers(context):
    leader = run(context, context.group.leader())
    return [name for name in context.group.log_by_instance if name != leader]


async def restart(context, name):
    await context.group.stop(name)
    return context.group.start(name)


def refusal(context, work):
    try:
        run(context, work)
    except errors.ReplicationError as error:
        return error
    return None


__all__ = [
    "LONG_MS",
    "SHORT_MS",
    "followers",
    "refusal",
    "restart",
    "run",
    "wait",
]
