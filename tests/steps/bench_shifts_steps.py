"""Steps for the bench's reading of shifts."""

from __future__ import annotations

import math

from behave import given
from behave import then
from behave import when

from bench.measures import fleet_run
from bench.measures import shifts

STEP_MS = 100


@given("{count:d} shift lookups that find {cached:d} of {pieces:d} pieces")
def step_lookups(context, count, cached, pieces):
    if "shift_lookups" not in context:
        context.shift_lookups = []
    found = context.shift_lookups
    for _ in range(count):
        at_ms = len(found) * STEP_MS
        found.append(fleet_run.Lookup(at_ms, pieces, cached))


@when("the shift recovery is read at lookup {number:d}")
def step_read(context, number):
    context.recovery = shifts.recovery(context.shift_lookups, number * STEP_MS)


@when("the shift recovery is read at lookup {number:d} against the same calls")
def step_read_same(context, number):
    lookups = context.shift_lookups
    context.recovery = shifts.recovery(lookups, number * STEP_MS, lookups)


@then("the shift dip ends after {count:d} lookups")
def step_ends(context, count):
    assert context.recovery.back_calls == count, context.recovery


@then("the shift dip is {lowest:f} deep and ends after {count:d} lookups")
def step_dip(context, lowest, count):
    assert math.isclose(context.recovery.lowest, lowest), context.recovery
    step_ends(context, count)


@then("the shift dip does not end")
def step_never(context):
    assert math.isnan(context.recovery.back_calls), context.recovery
