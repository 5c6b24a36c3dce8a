"""Steps over what a controller tells operators."""

from types import SimpleNamespace

import msgspec
from behave import given, then, when

from cowslipcourse.controller.status import _group_statuses
from cowslipcourse.daemon.reports import GatewayReport, GroupReport
from cowslipcourse.emulator.clock import run_in_virtual_time
from cowslipcourse.fleet import GroupMember, GroupSpec
from cowslipcourse.membership import Member, Record, Role
from cowslipcourse.membership.records import RecordStore
from cowslipcourse.ports import EngineLoad

AT = 1000.0
"""The fake loop's time at the start of a run."""
GRANT_S = 5.0


def _record(key, report, origin):
    sequence = _record.sequence = getattr(_record, "sequence", 0) + 1
    return Record(key, 1, sequence, msgspec.json.encode(report), AT, origin)


def _member(name, role):
    return Member(name, "i1", role, "dc1", "127.0.0.1:1", f"http://{name}")


@given("a controller that knows g7 to serve, and the gateways g1 and g2")
def step_controller(context):
    own = _member("c1", Role.CONTROLLER)
    members = [own, _member("g1", Role.GATEWAY), _member("g2", Role.GATEWAY)]
    contact = SimpleNamespace(sent_at=AT, stopped=False, revision=1)
    spec = GroupSpec(
        group="g7",
        declaration="drafting",
        domain="d1",
        data_centre="dc1",
        epoch=1,
        model="draft-large",
        version="3",
        adapters=(),
        members=(GroupMember("a1", "i1", "http://a1"),),
    )
    records = RecordStore(60.0)
    report = GroupReport(spec, True, "", EngineLoad())
    records.apply(_record("group/d1/g7", report, "c1"))
    context.agent = SimpleNamespace(
        member=own,
        revision=SimpleNamespace(number=1, members={m.name: m for m in members}),
        contacts={"g1": contact, "g2": contact},
        records=records,
        times=SimpleNamespace(isolation_s=3.0),
    )


def _say(context, gateway, leaving, sees):
    report = GatewayReport(gateway, leaving, {}, {}, sees)
    context.agent.records.apply(_record(f"gateway/{gateway}/i1", report, gateway))


@when("{gateway} says that it sees g7")
def step_sees(context, gateway):
    _say(context, gateway, False, ("g7",))


@when("{gateway} says that it is leaving")
def step_leaving(context, gateway):
    _say(context, gateway, True, ())


def _status(context):
    async def look():
        return _group_statuses(context.agent, GRANT_S)

    (group,) = run_in_virtual_time(look())
    return group


@then("status says that g7 is not seen by {gateways}")
def step_unseen(context, gateways):
    group = _status(context)
    names = gateways.split(" and ")
    assert not group["serving"] and group["unseen_by"] == names, group
    assert group["reason"] == f"not-seen-by-{','.join(names)}", group


@then("status says that g7 serves")
def step_serves(context):
    group = _status(context)
    assert group["serving"] and group["reason"] == "" and not group["unseen_by"], group
