"""Steps for the status of groups that a controller reports."""

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

START_AT = 1000.0
"""Virtual time at the start of a run, in seconds."""
GRANT_S = 5.0


def _record(key, report, origin):
    sequence = _record.sequence = getattr(_record, "sequence", 0) + 1
    return Record(key, 1, sequence, msgspec.json.encode(report), START_AT, origin)


def _member(name, role):
    return Member(name, "i1", role, "dc1", "127.0.0.1:1", f"http://{name}")


@given("a controller that knows that g7 serves, and gateways g1 and g2")
def step_controller(context):
    own = _member("c1", Role.CONTROLLER)
    members = [own, _member("g1", Role.GATEWAY), _member("g2", Role.GATEWAY)]
    contact = SimpleNamespace(sent_at=START_AT, stopped=False, revision=1)
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


def _apply_gateway_report(context, gateway, is_leaving, seen_groups):
    report = GatewayReport(gateway, is_leaving, {}, {}, seen_groups)
    context.agent.records.apply(_record(f"gateway/{gateway}/i1", report, gateway))


@when("{gateway} reports that it sees g7")
def step_gateway_sees_group(context, gateway):
    _apply_gateway_report(context, gateway, False, ("g7",))


@when("{gateway} reports that it is leaving")
def step_gateway_leaves(context, gateway):
    _apply_gateway_report(context, gateway, True, ())


def _group_status(context):
    async def read_statuses():
        return _group_statuses(context.agent, GRANT_S)

    (group,) = run_in_virtual_time(read_statuses())
    return group


@then("the status shows g7 as not seen by {gateways}")
def step_group_unseen(context, gateways):
    group = _group_status(context)
    gateway_names = gateways.split(" and ")
    assert not group["serving"] and group["unseen_by"] == gateway_names, group
    assert group["reason"] == f"not-seen-by-{','.join(gateway_names)}", group


@then("the status shows g7 as serving")
def step_group_serves(context):
    group = _group_status(context)
    assert group["serving"] and group["reason"] == "" and not group["unseen_by"], group
