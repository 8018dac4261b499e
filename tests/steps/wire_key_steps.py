"""Steps for the CURVE keys of the inner protocol."""

from __future__ import annotations

import pathlib
import stat
import tempfile

from behave import given
from behave import then
from behave import when

from lycheering.settings import findings
from lycheering.wire import errors
from lycheering.wire import messages
from lycheering.wire import security
from tests.support import wire_calls
from tests.support import wire_ends


def make_security(folder, name=None):
    pair = security.KeyPair.generate()
    if name is not None:
        pair = security.read_key_pair(str(folder / f"{name}.key.ini"))
    peers = security.read_peers(str(folder / "peers.ini"))
    return lambda counters: security.CurveSecurity(pair, peers, counters)


@given('wire keys for "{one}" and "{other}"')
def step_keys(context, one, other):
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    context.folder = pathlib.Path(folder)
    security.make_keys(context.folder, [one, other])


@given("a wire server with keys")
def step_server_keys(context):
    wire_calls.start_server(
        context, security=make_security(context.folder, "server")
    )


@given("a wire server with keys that the client does not know")
def step_server_other_keys(context):
    wire_calls.start_server(context, security=make_security(context.folder))


@when("a wire client with an unknown key connects")
def step_unknown_key(context):
    own = make_security(context.folder)
    context.stranger = wire_calls.make_peer(context, "stranger", security=own)

    async def connect_stranger():
        context.stranger_connection = context.stranger.connect(
            "server", context.port
        )
        value_by_name = context.server.counters.value_by_name
        await wire_ends.until(lambda: value_by_name["wire.refused_key"])

    wire_calls.run(context, connect_stranger())


@when("a wire client without keys connects")
def step_no_keys(context):
    stranger = wire_calls.make_peer(context, "stranger")

    async def connect_stranger():
        stranger.connect("server", context.port)
        value_by_name = context.server.counters.value_by_name
        await wire_ends.until(lambda: value_by_name["wire.refused_handshake"])

    wire_calls.run(context, connect_stranger())


@when("a wire client with a known key makes a call")
def step_known_key_call(context):
    wire_calls.connect(
        context, security=make_security(context.folder, "client")
    )
    try:
        context.reply = wire_calls.run(context, wire_calls.call(context))
    except errors.WireError as error:
        context.reply = error


@then("the wire call is done")
def step_call_done(context):
    assert isinstance(context.reply, messages.Done), context.reply


@then("the wire call was not sent")
def step_call_not_sent(context):
    assert isinstance(context.reply, errors.PeerUnreachableError), context.reply


@then("the wire client with an unknown key never gets a session")
def step_never_served(context):
    assert not context.stranger_connection.is_connected
    sessions = context.server.server.session_by_routing_id.values()
    assert "stranger" not in [session.name for session in sessions]


@then('the wire server counts at least {count:d} "{name}"')
def step_counts(context, count, name):
    value_by_name = context.server.counters.value_by_name
    wire_calls.run(
        context, wire_ends.until(lambda: value_by_name[name] >= count)
    )


@then("the wire key files can be read by their owner only")
def step_key_modes(context):
    for file in context.folder.glob("*.key.ini"):
        assert stat.S_IMODE(file.stat().st_mode) == 0o600, file


@then('making wire keys for "{name}" again is refused')
def step_no_overwrite(context, name):
    before = (context.folder / f"{name}.key.ini").read_bytes()
    try:
        security.make_keys(context.folder, [name])
    except FileExistsError:
        assert (context.folder / f"{name}.key.ini").read_bytes() == before
    else:
        raise AssertionError("the key file was overwritten")


@when('the wire key file of "{name}" is truncated')
def step_cut_key(context, name):
    file = context.folder / f"{name}.key.ini"
    file.write_text(file.read_text()[:-10])


@then('reading the wire keys of "{name}" reports line {line:d} as malformed')
def step_key_finding(context, name, line):
    try:
        security.read_key_pair(str(context.folder / f"{name}.key.ini"))
    except findings.SettingsError as error:
        assert [finding.line for finding in error.findings] == [line]
    else:
        raise AssertionError("no finding")
