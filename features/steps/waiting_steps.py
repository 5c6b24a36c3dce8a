"""Steps for callers of several priorities that compete for slots."""

from behave import given, then, when
from support.waiting_site import WaitingSite

FRACTION_TOLERANCE = 0.02


@given("{daemons:d} daemons whose counts of each other are {age_s:g} s old")
def step_daemons(context, daemons, age_s):
    context.waiting_site = WaitingSite(daemons, age_s)
    context.offers = []
    context.cut_off = False


@given("one of them is cut off from the counts of the others")
def step_cut_off(context):
    context.cut_off = True


def _offer(context, load, duration_s, **options):
    site = context.waiting_site

    async def scenario(site):
        site.daemons[0].is_cut_off = context.cut_off
        await site.offer(load, duration_s, **options)

    site.run(scenario)


@when(
    "callers of priorities 0, 1 and 2 come at {load:g} times all slots each, "
    "for {duration_s:g} s"
)
def step_equal_load(context, load, duration_s):
    _offer(context, dict.fromkeys((0, 1, 2), load), duration_s)


@when(
    "priority 0 bursts to {first:g} times and priority 2 to {last:g} times its load "
    "for {duration_s:g} s"
)
def step_bursts(context, first, last, duration_s):
    context.waiting_site.outcomes.clear()
    _offer(context, {0: 0.25 * first, 1: 0.25, 2: 0.25 * last}, duration_s)


@when(
    "callers of priority 0 come at {first:g} times all slots and of priority 2 at "
    "{last:g}, for {duration_s:g} s"
)
def step_unequal_load(context, first, last, duration_s):
    _offer(context, {0: first, 2: last}, duration_s)


@when(
    "{fraction:g} of the callers at 1.5 times all slots repeat at once, for "
    "{duration_s:g} s"
)
def step_repeaters(context, fraction, duration_s):
    load = dict.fromkeys((0, 1, 2), 0.5)
    _offer(context, load, duration_s, repeater_fraction=fraction)


@when(
    "{fraction:g} of the callers at 1.5 times all slots are of one workspace, for "
    "{duration_s:g} s"
)
def step_large_workspace(context, fraction, duration_s):
    load = dict.fromkeys((0, 1, 2), 0.5)
    _offer(context, load, duration_s, big_fraction=fraction)


def _priorities(site):
    return sorted({outcome.priority for outcome in site.outcomes})


def _figures(site):
    figures = [
        f"{priority}: served {site.served_fraction(priority=priority):.2f}, "
        f"credit {site.credit(priority=priority):.2f}"
        for priority in _priorities(site)
    ]
    kept = site.select(kept_to_told=True)
    return "; ".join(
        [
            *figures,
            f"returned as told: {len(kept)}, "
            f"served {site.served_fraction(kept_to_told=True):.2f}",
        ]
    )


@then("priority 0 earns at least {fraction:g} of its credit")
def step_credit(context, fraction):
    site = context.waiting_site
    assert site.credit(priority=0) >= fraction, _figures(site)


@then("no priority is served oftener than a more urgent one by more than {tolerance:g}")
def step_order(context, tolerance):
    site = context.waiting_site
    served = [site.served_fraction(priority=each) for each in _priorities(site)]
    for index, fraction in enumerate(served):
        assert all(each <= fraction + tolerance for each in served[index:]), served


@then("at least {fraction:g} of the callers of each priority are served")
def step_all_served(context, fraction):
    site = context.waiting_site
    for priority in _priorities(site):
        assert site.served_fraction(priority=priority) >= fraction, _figures(site)


@then("no priority is served less than a quarter as often as all")
def step_not_starved(context):
    site = context.waiting_site
    for priority in _priorities(site):
        served = site.served_fraction(priority=priority)
        assert served >= site.served_fraction() / 4, _figures(site)


@then("of the callers that came back when told, at least {fraction:g} are served")
def step_returns(context, fraction):
    site = context.waiting_site
    assert site.select(kept_to_told=True), "nobody was told a time to come back"
    assert site.served_fraction(kept_to_told=True) >= fraction, _figures(site)


@then("nobody waits for a slot and nobody is refused")
def step_calm(context):
    outcomes = context.waiting_site.outcomes
    assert outcomes
    assert not any(outcome.refusals for outcome in outcomes)
    assert not any(outcome.slot_wait_s for outcome in outcomes)


@then("those who repeat at once are served no oftener than the others")
def step_repeaters_gain_nothing(context):
    site = context.waiting_site
    for priority in _priorities(site):
        others = site.served_fraction(priority=priority, is_repeater=False)
        repeaters = site.served_fraction(priority=priority, is_repeater=True)
        assert repeaters <= others + FRACTION_TOLERANCE, (priority, repeaters, others)


@then("the small workspaces are served at least as often as the large one")
def step_small_workspaces(context):
    site = context.waiting_site
    large = site.select(workspace="big")
    small = [outcome for outcome in site.outcomes if outcome.workspace != "big"]
    large_served = sum(outcome.served for outcome in large) / len(large)
    small_served = sum(outcome.served for outcome in small) / len(small)
    assert small_served >= large_served - FRACTION_TOLERANCE, (
        small_served,
        large_served,
    )
