"""Steps for edits of the configuration."""

import asyncio

from behave import given, then, when

from cowslipcourse.config import (
    Change,
    Configuration,
    Edit,
    ObjectRef,
    apply_changes,
    parse_documents,
    resolve,
)
from cowslipcourse.daemon import now
from cowslipcourse.emulator.clock import run_in_virtual_time
from cowslipcourse.exceptions import ConfigurationError, ConfirmationRequired
from cowslipcourse.fleet import VM, TargetKind, VmState
from features.steps.outage_steps import granted_group_count, run_in_scenario_loop
from features.support.edit_runs import EditRun
from features.support.group_runs import RequestLoad, fixed_secrets
from features.support.small_site import base_changes, change

ROLLOUT_TIMEOUT_S = 120.0


@when("this file is applied")
def step_apply_file(context):
    try:
        parse_documents({"site.toml": context.text})
        context.problems = ()
    except ConfigurationError as error:
        context.problems = error.problems


@then("these problems are reported")
def step_problems(context):
    assert len(context.problems) == len(context.table.rows), context.problems
    for row in context.table:
        assert any(
            row["where"] in problem.where and row["message"] in problem.message
            for problem in context.problems
        ), (row["where"], context.problems)


@given("a configuration with one group of pool=large")
def step_one_group(context):
    labels = {"pool": "large", "domain": "d1"}
    kind, state = TargetKind.ENGINE, VmState.LIVE
    context.vms = [VM("a1", "d1", "dc1", "http://1", "i", 8, kind, state, labels)]
    context.configuration = apply_changes(Configuration(), base_changes(1, 1))


@when("a second group of domain=d1 is declared")
def step_second_group(context):
    second = change(
        "group", "other", model="m", vms="domain=d1", vms_per_group=1, count=1
    )
    try:
        resolve(apply_changes(context.configuration, [second]), context.vms)
        context.refusal = ""
    except ConfigurationError as error:
        context.refusal = error.detail


@then('it is refused with "{text}"')
def step_refused_with(context, text):
    assert text in context.refusal, context.refusal


DESTRUCTIVE_EDITS = {
    "the group's selector gets a typo": (
        change("group", "grp", model="m", vms="pool=lrge", vms_per_group=2, count=4),
    ),
    "the last placement is removed": (Change(ObjectRef("placement", "p"), None),),
    "the model's group is removed": (Change(ObjectRef("group", "grp"), None),),
}


def _try_commit(context, confirm):
    edits = context.in_process_site.controllers["c1"].edits

    async def attempt():
        number, _ = await edits.read_configuration()
        edit = Edit(f"try-{confirm}", "t", "t", number, context.changes, confirm)
        try:
            await edits.commit(edit)
        except ConfirmationRequired as error:
            return error.plan
        return None

    return run_in_scenario_loop(context, attempt())


@when("{edit} without confirmation")
def step_unconfirmed(context, edit):
    context.changes = DESTRUCTIVE_EDITS[edit]
    context.plan = _try_commit(context, "")


@then("it is refused with a plan that shows {effect}")
def step_plan_shows(context, effect):
    assert context.plan is not None
    assert getattr(context.plan, effect), context.plan


@then("confirming another plan is refused too")
def step_other_plan(context):
    assert _try_commit(context, "0123456789abcdef") is not None


@when("{number:d} random edit runs are made from seed {first:d}")
def step_random_edit_runs(context, number, first):
    context.violations, context.outcome_counts = [], {}
    for seed in range(first, first + number):
        with fixed_secrets(seed):
            edit_run = EditRun(seed)
            context.violations += run_in_virtual_time(_run_edits(edit_run))
        for result in edit_run.outcomes.values():
            outcome = result.split()[0]
            context.outcome_counts[outcome] = context.outcome_counts.get(outcome, 0) + 1


async def _run_edits(edit_run):
    return await edit_run.run()


@then(
    "the audit records match the configuration and the outcome that each operator got"
)
def step_audit_records_match(context):
    assert not context.violations, context.violations[:3]
    assert (
        context.outcome_counts["committed"] > 100
        and context.outcome_counts["conflict"] > 20
    ), context.outcome_counts


@when("the model's version is changed under load")
def step_roll_out(context):
    async def roll_out():
        site = context.in_process_site
        load = RequestLoad(site, interval_s=0.5)
        task = asyncio.create_task(load.run())
        await asyncio.sleep(2.0)
        model = change("model", "m", version="2", weights_bytes=100_000_000)
        await site.edit("c1", model)
        min_granted, timeout_at = 4, now() + ROLLOUT_TIMEOUT_S
        while now() < timeout_at and not _all_groups_at_version(context, "2"):
            min_granted = min(min_granted, granted_group_count(context))
            await asyncio.sleep(0.1)
        task.cancel()
        await load.finish()
        return min_granted, load, _all_groups_at_version(context, "2")

    context.min_granted, context.load, context.has_rolled_out = run_in_scenario_loop(
        context, roll_out()
    )


def _all_groups_at_version(context, version):
    grants = context.view.group_grants(["grp"])
    versions = {grant.report.spec.version for grant in grants}
    return versions == {version} and len(grants) == 4


@then("every group reloads, at most one at a time in the declaration")
def step_rolled_out(context):
    assert context.has_rolled_out
    assert context.min_granted >= 3, context.min_granted


@then("no request was interrupted or refused")
def step_no_failed_request(context):
    assert not context.load.violations, context.load.violations[:3]
    assert set(context.load.outcomes) == {"completed"}, context.load.outcomes
