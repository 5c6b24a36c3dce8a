"""Steps for decisions about the models' shares."""

from behave import then, when

from cowslipcourse.group_plans import ModelLoad, ObservedWork, choose_shares
from features.support.share_runs import Demand, ShareDecisionRun, service_spec

DOMAINS = {
    "large": tuple(f"l{index // 2}" for index in range(10)),
    "small": tuple(f"s{index // 9}" for index in range(36)),
}


def _set_up(context, large, small, seconds, swing=0.0, period_s=15.0):
    context.demands = {
        "large": Demand(large, swing, period_s),
        "small": Demand(small, swing, period_s),
    }
    context.duration_s = seconds
    context.dark = {}


@when("{large:d} requests of large and {small:d} of small are in flight for {s:d} s")
def step_steady(context, large, small, s):
    _set_up(context, large, small, s)


@when(
    "{large:d} requests of large and {small:d} of small are in flight for {s:d} s, in "
    "waves of {swing:g} with a period of {period:d} s"
)
def step_waves(context, large, small, s, swing, period):
    _set_up(context, large, small, s, swing, period)


@when("small is {factor:g} times as frequent from {start:d} s to {end:d} s")
def step_factor(context, factor, start, end):
    context.demands["small"] = context.demands["small"]._replace(
        factor=factor, factor_from=start, factor_to=end
    )


@when("domain {domain} is dark from {start:d} s to {end:d} s")
def step_dark(context, domain, start, end):
    context.dark[domain] = (start, end)


def _run(context, is_observed=True):
    models = service_spec().models
    run = ShareDecisionRun(models, DOMAINS, context.demands, is_observed)
    run.dark = context.dark
    run.run(context.duration_s)
    return run


@then(
    "requests of small that find no slot are at most {most:g} of all, with declared "
    "shares at least {least:g}"
)
def step_excess(context, most, least):
    run, declared = _run(context), _run(context, is_observed=False)
    found = run.excess["small"] / run.wanted["small"]
    before = declared.excess["small"] / declared.wanted["small"]
    assert found <= most and before >= least, (found, before)


@then("no request of large finds no slot")
def step_large_keeps_room(context):
    assert _run(context).excess["large"] == 0


@then("shares change at most {number:d} times")
def step_change_count(context, number):
    run = _run(context)
    assert len(run.proposals) <= number, run.proposals


@then("the first change of shares comes {least:g} to {most:g} s after {start:g} s")
def step_first_change(context, least, most, start):
    run = _run(context)
    assert run.proposals, "shares never change"
    assert least <= run.proposals[0][0] - start <= most, run.proposals


@then("{model:w} has {number:d} groups at the end")
def step_groups(context, model, number):
    run = _run(context)
    assert len(run.groups(model, context.duration_s)) == number, run.proposals


@then("{model:w} has at least {number:d} groups at the end")
def step_least_groups(context, model, number):
    run = _run(context)
    assert len(run.groups(model, context.duration_s)) >= number, run.proposals


@then("no model loses groups that it has gained")
def step_no_return(context):
    run = _run(context)
    shares = [each["small"] for _, each in run.proposals]
    assert shares in (sorted(shares), sorted(shares, reverse=True)), run.proposals


def _observe(small_load, seconds):
    models = service_spec().models
    observed = ObservedWork()
    loads = {"large": ModelLoad(20, DOMAINS["large"]), "small": small_load}
    for step in range(seconds * 4):
        observed.observe(loads, models, 10, step * 0.25)
    demands = observed.demands(models)
    shares = {model.name: model.share for model in models}
    return demands and choose_shares(demands, loads, models, shares)


@when("a coordinator sees {count:d} requests of small in flight for {seconds:d} s")
def step_see_count(context, count, seconds):
    context.decided = _observe(ModelLoad(count, DOMAINS["small"]), seconds)


@when("a coordinator sees no group of small for {seconds:d} s")
def step_see_no_group(context, seconds):
    context.decided = _observe(ModelLoad(0, ()), seconds)


@then("it decides nothing")
def step_nothing(context):
    assert context.decided is None, context.decided
