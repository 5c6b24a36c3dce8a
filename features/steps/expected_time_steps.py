"""Steps for runs of daemons that place requests by expected time."""

from behave import given, then, when

from features.support.placing_runs import PLAIN, Load, PlacingRun

PERIOD = 3


def _every_third(targets):
    return set(range(0, targets, PERIOD))


@given(
    "{daemons:d} daemons and {targets:d} targets that get {rate:d} requests a second"
)
def step_load(context, daemons, targets, rate):
    context.load = Load(daemons=daemons, targets=targets, rate_per_s=rate)


@given(
    "{daemons:d} daemons and {targets:d} plain targets that get {rate:d} requests a "
    "second"
)
def step_plain_load(context, daemons, targets, rate):
    context.load = Load(
        daemons=daemons,
        targets=targets,
        rate_per_s=rate,
        spec=PLAIN,
        slots=6,
        objective_s=0.2,
    )


@given("every third target is {factor:d} times slower")
def step_slow(context, factor):
    context.load = context.load._replace(
        slow=lambda number, now: 1.0 if number % PERIOD else factor
    )


@given("every third target is {factor:d} times slower from {start:d} s to {end:d} s")
def step_slow_spell(context, factor, start, end):
    def slow(number, now):
        return factor if number % PERIOD == 0 and start <= now < end else 1.0

    context.load = context.load._replace(slow=slow, duration_s=end + 4.0)


@given("counts of other daemons are {age_s:f} s old")
def step_count_age(context, age_s):
    context.load = context.load._replace(count_age_s=age_s)


@given("counts of other daemons stop at {at:d} s")
def step_counts_stop(context, at):
    context.load = context.load._replace(counts_stop_at=float(at))


@given("{count:d} targets have just started and are three times slower")
def step_cold(context, count):
    context.load = context.load._replace(cold=count)


@given("{count:d} daemon tells that all targets are slow")
def step_liars(context, count):
    context.load = context.load._replace(liars=count)


@when("the requests are placed by requests in flight and by expected time")
def step_run(context):
    context.before = PlacingRun(context.load, "in-flight").run()
    context.run = PlacingRun(context.load, "expected-time").run()


@when("the requests are placed by expected time with and without what others tell")
def step_run_without_hints(context):
    alone = context.load._replace(shares_hints=False)
    context.before = PlacingRun(alone, "expected-time").run()
    context.run = PlacingRun(context.load, "expected-time").run()


@then("at most {share:f} times as many are late as by requests in flight")
@then("at most {share:f} times as many are late with it")
def step_fewer_late(context, share):
    figures = context.run.late, context.before.late, len(context.run.requests)
    assert 0 < context.before.late, figures
    assert context.run.late <= share * context.before.late, figures


@then("no more are late than by requests in flight")
def step_no_more_late(context):
    figures = context.run.late, context.before.late
    assert context.run.late <= context.before.late, figures


@then("at most {count:d} requests are late")
def step_late_at_most(context, count):
    assert context.run.late <= count, context.run.late


@then("at most {share:f} of the requests after {start:d} s go to slow targets")
def step_share_after(context, share, start):
    sent = context.run.share_sent(
        _every_third(context.load.targets), start, context.load.duration_s
    )
    assert sent <= share, sent


@then(
    "at most {share:f} of the requests from {start:g} s to {end:g} s go to slow targets"
)
def step_share_at_most(context, share, start, end):
    sent = context.run.share_sent(_every_third(context.load.targets), start, end)
    assert sent <= share, sent


@then(
    "at least {share:f} of the requests from {start:g} s to {end:g} s go to slow "
    "targets"
)
def step_share_at_least(context, share, start, end):
    sent = context.run.share_sent(_every_third(context.load.targets), start, end)
    assert sent >= share, sent


@then("slow targets still get some requests")
def step_some(context):
    half_s = context.load.duration_s / 2
    slow = _every_third(context.load.targets)
    assert context.run.share_sent(slow, half_s, context.load.duration_s) > 0


@then("the busiest target has at most {factor:f} times the mean")
def step_busiest(context, factor):
    assert context.run.busiest <= factor, (context.run.busiest, context.before.busiest)


@then("every target gets at least {factor:f} times the mean of requests")
def step_not_starved(context, factor):
    sent = [target.sent for target in context.run.targets]
    assert min(sent) >= factor * sum(sent) / len(sent), sent
