"""Steps for requests that are charged to the allowance of their team."""

from __future__ import annotations

import asyncio
import contextlib

from behave import given
from behave import then
from behave import when

from lycheering.limits import allowance_terms
from lycheering.routes import api as routes
from tests.helpers import direct_entry
from tests.helpers import local_control

# the first answers of control tell the number of entries
START_S = 1.5


@contextlib.asynccontextmanager
async def serving(context):
    """Starts the entries of the scenario; the first owns the target."""
    control = local_control.LocalControl()
    control.delay_s = context.delay_s
    context.rule = control.rule
    rate = context.team_options["rate_per_s"]
    control.find_terms = lambda team: (rate, rate)
    async with contextlib.AsyncExitStack() as stack:
        entries = []
        for number in range(context.entry_count):
            entry = direct_entry.DirectEntry(
                [] if number else context.targets, control=control
            )
            entry.team_options = context.team_options
            await stack.enter_async_context(entry)
            entry.allowances.set_entry_count(context.entry_count)
            entries.append(entry)
            entry.targets = context.targets
            entry.put_targets()
        for entry in entries[1:]:
            stack.callback(setattr, entry, "targets", [])
        if context.leader_lost_s is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(
                START_S + context.leader_lost_s,
                setattr,
                control,
                "is_reachable",
                False,
            )
        await asyncio.sleep(START_S)
        yield entries


async def ask(entry, request_id, tokens):
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    answer = await direct_entry.ask(
        entry,
        direct_entry.request(
            "idempotent", request_id, X_Token_Usage=f"{tokens},0"
        ),
    )
    return began_s, loop.time(), answer


@given("{count:d} entries and a team that may use {rate:d} {unit} a second")
def step_entries(context, count, rate, unit):
    context.entry_count = count
    context.leader_lost_s = None
    context.delay_s = 0.0
    context.targets = [direct_entry.direct_target.DirectTarget("t1")]
    context.team_options = {
        "rate_per_s": float(rate),
        "burst": float(rate),
        "unit": routes.AllowanceUnit(unit),
    }


@given("the leader of allowances replies after {delay_ms:d} ms")
def step_delay(context, delay_ms):
    context.delay_s = delay_ms / 1_000


@given("the leader of allowances is lost after {lost_s:d} s")
def step_lost(context, lost_s):
    context.leader_lost_s = lost_s


@when(
    "each entry gets {per_s:d} requests of {tokens:d} tokens a second for"
    " {duration_s:d} s"
)
def step_offer(context, per_s, tokens, duration_s):
    is_tokens = context.team_options["unit"] is routes.AllowanceUnit.TOKENS
    context.cost = tokens if is_tokens else 1
    context.duration_s = duration_s

    async def offer():
        async with serving(context) as entries:
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            tasks = []
            for number in range(per_s * duration_s):
                due_s = began_s + number / per_s
                await asyncio.sleep(max(0.0, due_s - loop.time()))
                for index, entry in enumerate(entries):
                    asked = ask(entry, f"r{index}.{number}", tokens)
                    tasks.append(loop.create_task(asked))
            return await asyncio.gather(*tasks)

    context.answers = asyncio.run(offer())


def answered_s(context):
    return sorted(
        ended_s
        for _, ended_s, answer in context.answers
        if answer.status == 200
    )


@then("no 2 s bring the target more than the bound of the allowance")
def step_bound(context):
    rate = context.team_options["rate_per_s"]
    rule = context.rule
    terms = allowance_terms.AllowanceTerms(rate, rate, rule)
    times_s = answered_s(context)
    first = 0
    for last, at_s in enumerate(times_s):
        while times_s[first] <= at_s - rule.window_s:
            first += 1
        used = (last - first + 1) * context.cost
        assert used <= terms.window_bound, (used, terms.window_bound)


@then("at least {part:g} of the allowance was used")
def step_used(context, part):
    used = len(answered_s(context)) * context.cost
    allowed = context.team_options["rate_per_s"] * context.duration_s
    assert used >= part * allowed, (used, allowed)


def refused(context):
    return [answer for _, _, answer in context.answers if answer.status != 200]


@then("every other request was refused with 429 and a time to come back")
def step_refused(context):
    answers = refused(context)
    assert answers
    for answer in answers:
        assert answer.status == 429, answer
        assert float(answer.value_by_header["retry-after"]) > 0, answer


@then("each request was refused with 429 without a time to come back")
def step_never(context):
    answers = refused(context)
    assert len(answers) == len(context.answers)
    for answer in answers:
        assert answer.status == 429, answer
        assert "retry-after" not in answer.value_by_header, answer


@then('the refusals tell "{text}"')
def step_told(context, text):
    for answer in refused(context):
        assert text in answer.body.decode(), answer


@then("no request of the team was refused")
def step_none_refused(context):
    assert not refused(context), refused(context)[0]
