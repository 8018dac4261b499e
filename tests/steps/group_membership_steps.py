"""Steps for control instances that join the group by themselves."""

from __future__ import annotations

from behave import given
from behave import then

from lycheering.control.direct import group_membership
from lycheering.replication import core
from lycheering.replication import log
from lycheering.replication import members


@given(
    "a group of {voters:d} voters of which {silent:d} are silent for {ms:d} ms"
)
def step_group(context, voters, silent, ms):
    ids = [members.MemberId(f"c{n}", f"disk{n}") for n in range(voters)]
    context.status = log.GroupStatus(
        id=ids[0],
        role=core.Role.LEADER,
        term=1,
        leader_id=ids[0],
        commit_index=1,
        applied_index=1,
        last_index=1,
        synced_index=1,
        change=None,
        members=[
            log.MemberStatus(
                member_id,
                "127.0.0.1:1",
                True,
                1,
                float(ms) if number >= voters - silent else 0.0,
            )
            for number, member_id in enumerate(ids)
        ],
        failure="",
    )


@then("no voter may be removed")
def step_no_surplus(context):
    assert group_membership.find_surplus_voter(context.status) is None


@then("one voter may be removed")
def step_one_surplus(context):
    found = group_membership.find_surplus_voter(context.status)
    assert found == context.status.members[-1].id
