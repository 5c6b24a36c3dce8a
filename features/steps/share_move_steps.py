"""Steps for moves of engines between models by observed work."""

from collections import Counter

from behave import given, then, when

from cowslipcourse.emulator import run_in_virtual_time
from features.support.share_move_runs import FORMATION_S, MoveSite, ShareMoveRun
from features.support.share_runs import service_spec


@given("shares of the engines follow the observed work")
def step_observed(context):
    context.share_setting = "observed"


@given("loads take 16 s and 12 s, and small fills its groups only after {seconds:d} s")
def step_quiet(context, seconds):
    context.quiet_s = seconds
    context.loads_take_time = True


def _run(context, seconds, has_takeover=False):
    setting = getattr(context, "share_setting", "declared")
    context.run = ShareMoveRun(
        setting,
        getattr(context, "quiet_s", FORMATION_S),
        getattr(context, "loads_take_time", False),
        getattr(context, "move_site", None),
    )
    run_in_virtual_time(context.run.run(seconds, has_takeover))


@given("{domains:d} domains of {engines:d} engines and models of 8 and 2 engines")
def step_site(context, domains, engines):
    context.move_site = MoveSite(domains, engines, service_spec().models)


@then("one domain has {large:d} group of large and {small:d} of small")
def step_mixed_domain(context, large, small):
    engines = context.run.world.engines.values()
    heads = [engine for engine in engines if engine.is_open_head]
    counts = Counter((head.domain, head.membership.model) for head in heads)
    found = {(counts[d, "large"], counts[d, "small"]) for d, _ in counts}
    assert (large, small) in found, counts


@when("small fills its groups for {seconds:d} s")
def step_fill(context, seconds):
    _run(context, seconds)


@when(
    "the coordinator dies as the first group changes over, and another one takes over"
)
def step_take_over(context):
    _run(context, 30, has_takeover=True)


def _counts_while_full(context):
    return [counts for at, counts in context.run.samples if at >= 0]


@then("small has {small:d} groups at the end and large {large:d}")
def step_end(context, small, large):
    found = context.run.samples[-1][1]
    assert found == {"small": small, "large": large}, found


@then("small never has fewer groups than at first")
def step_no_fewer(context):
    counts = _counts_while_full(context)
    assert min(each["small"] for each in counts) >= counts[0]["small"], counts


@then("at most {number:d} groups of large change over at a time")
def step_pace(context, number):
    assert 0 < max(context.run.moving_counts) <= number, context.run.moving_counts


@then("no group moved back")
def step_no_return(context):
    small = [each["small"] for each in _counts_while_full(context)]
    assert small == sorted(small), small


@then("small has {number:d} groups at most {seconds:d} s after its groups are full")
def step_by(context, number, seconds):
    reached = [
        at
        for at, counts in context.run.samples
        if at >= 0 and counts["small"] >= number
    ]
    assert reached and reached[0] <= seconds, (reached[:1], context.run.samples[-1])


@then("no engine is idle at the end")
def step_no_idle(context):
    assert not context.run.idle_engines(), context.run.idle_engines()


@then("no engine was in two groups")
def step_no_violation(context):
    assert not context.run.world.violations, context.run.world.violations


@then("the row of shares was neither read nor written")
def step_unused(context):
    assert not context.run.has_used_shares, context.run.world.tables
