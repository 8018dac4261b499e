"""Steps for the checker of a run."""

from __future__ import annotations

import json

from behave import given
from behave import then
from behave import when
import xxhash

from bench import checker
from bench.load import client
from bench.load import driver
from bench.traces import calls
from standins import answers


def make_call(call_id, team, kind):
    if kind == "order":
        return calls.Call(
            call_id,
            0,
            team,
            "order",
            1_000,
            service="portal",
            service_path="/orders",
            tail=f"order {call_id}",
            is_repeatable=False,
        )
    return calls.Call(
        call_id, 0, team, "check", 1_000, "model", tail=call_id, max_tokens=4
    )


def service_body(call, digest=None):
    own = xxhash.xxh3_128(call.body()).hexdigest()
    answer = {"path": call.service_path, "body_digest": digest or own}
    return json.dumps(answer).encode()


def leave_whole(record):
    record.looks_whole = True
    if record.call.service:
        record.body = service_body(record.call)
    else:
        record.text = record.call.expected_text()


def leave_with(record, answer):
    own = record.call.expected_text()
    attempt = record.attempts[0]
    record.looks_whole = True
    if answer == "its whole answer":
        leave_whole(record)
    elif answer == "a part that looks whole":
        record.text = own[: len(own) // 2]
    elif answer == "the answer to another prompt":
        record.text = answers.expected_answer("another prompt", 4)
    elif answer == "its tokens in another order":
        record.text = "".join(f" {token}" for token in reversed(own.split()))
    elif answer == "a wrong digest":
        record.body = service_body(record.call, "0" * 32)
    elif answer == "another request id":
        leave_whole(record)
        attempt.echoed_id = "d-0"
    else:
        record.looks_whole = False
        attempt.failure = "reset"
        if answer == "an explicit error":
            attempt.error = client.CallerError("busy")
        elif answer == 'a "not run" error':
            attempt.error = client.CallerError("busy", not_run=True)
        else:
            assert answer == "a broken connection", answer


@given('a bench {kind} of team "{team}"')
def step_call(context, kind, team):
    record = driver.CallRecord(make_call("c", team, kind))
    record.attempts.append(driver.Attempt("c-0"))
    context.records = [record]
    context.runs = []


@when("its caller is left with {answer}")
def step_left_with(context, answer):
    leave_with(context.records[0], answer)


@when('the targets have recorded "{runs}"')
def step_recorded(context, runs):
    call = context.records[0].call
    for text in runs.split():
        request_id, outcome = text.split(":")
        run = checker.TargetRun(request_id, outcome, path=call.service_path)
        if call.model and outcome != "queued":
            run.weights_version = "1"
        context.runs.append(run)


@when("another team's call ran under the same salt")
def step_same_salt(context):
    record = driver.CallRecord(make_call("d", "t2", "completion"))
    record.attempts.append(driver.Attempt("d-0"))
    leave_whole(record)
    context.records.append(record)
    for name in ("c-0", "d-0"):
        run = checker.TargetRun(name, "finished", salt="s", weights_version="1")
        context.runs.append(run)


@then('the bench verdict is "{line}"')
def step_verdict(context, line):
    verdict = checker.check(context.records, context.runs)
    assert verdict.line() == line, verdict


@then('the bench verdict counts {count:d} "{fault}"')
def step_counts(context, count, fault):
    verdict = checker.check(context.records, context.runs)
    assert verdict.count(checker.Fault(fault)) == count, verdict
