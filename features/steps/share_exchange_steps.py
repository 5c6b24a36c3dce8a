"""Steps for exchanges of groups by agreed shares."""

from behave import given, then, when

from cowslipcourse.group_plans import (
    AGREED_THRESHOLDS,
    MovePacer,
    PlannedGroup,
    choose_reassignments,
)

BEGUN_AT = 10.0


@given("the hosts of all groups of large store small")
def step_stored(context):
    for plan in context.plans.values():
        for group in plan.groups:
            if group.model == "large":
                context.stored_models[group.name] = "small"


@when("coordinators agree on {share:g} of the work for large")
def step_agree(context, share):
    large, small = context.models
    context.models = (large._replace(share=share), small._replace(share=1 - share))
    context.pacer = MovePacer()
    context.pacer.update(context.plans, 0.0)


def _exchanges(context):
    def count_warm_members(group, domain, model):
        return len(group.members) * (context.stored_models.get(group.name) == model)

    return choose_reassignments(
        context.plans,
        context.models,
        lambda group, domain: True,
        count_warm_members,
        AGREED_THRESHOLDS,
    )


def _groups(context, model):
    return [
        (plan.domain, group)
        for plan in context.plans.values()
        for group in plan.groups
        if group.model == model and not group.is_retired
    ]


def _donated(context, exchanges, donor):
    names = {name for exchange in exchanges for name in exchange.groups}
    return [group for _, group in _groups(context, donor) if group.name in names]


@then("{number:d} groups of {donor:w} are to change over by agreed shares")
def step_exchange_count(context, number, donor):
    donated = _donated(context, _exchanges(context), donor)
    assert len(donated) == number, donated


@then("large keeps groups in {number:d} domains or more")
def step_domains(context, number):
    donated = _donated(context, _exchanges(context), "large")
    kept = {d for d, group in _groups(context, "large") if group not in donated}
    assert len(kept) >= number, (kept, donated)


def _permitted(context):
    return context.pacer.permitted(_exchanges(context), context.plans)


@then("{number:d} groups of large may begin to change over at once")
def step_permitted(context, number):
    found = _donated(context, _permitted(context), "large")
    assert len(found) == number, found


def _begin(context, exchanges):
    names = {name for exchange in exchanges for name in exchange.groups}
    for domain, plan in context.plans.items():
        groups = tuple(
            g._replace(is_retired=True, successor="small") if g.name in names else g
            for g in plan.groups
        )
        context.plans[domain] = plan._replace(groups=groups)


def _finish(context):
    """Form the successors of all groups that have been given up."""
    for domain, plan in context.plans.items():
        groups = [group for group in plan.groups if not group.successor]
        for group in plan.groups:
            if group.successor:
                members = group.members
                groups += [
                    PlannedGroup(f"{group.name}-a", "small", 2, members[:2]),
                    PlannedGroup(f"{group.name}-b", "small", 2, members[2:]),
                ]
        context.plans[domain] = plan._replace(groups=tuple(groups))


@when("these begin")
def step_begin(context):
    _begin(context, _permitted(context))
    context.pacer.update(context.plans, BEGUN_AT)


@then(
    "{number:d} groups of large may begin to change over {seconds:g} s after they have "
    "ended"
)
def step_permitted_later(context, number, seconds):
    _finish(context)
    context.pacer.update(context.plans, BEGUN_AT + seconds)
    step_permitted(context, number)


@when("all exchanges have been carried out")
def step_carry_out(context):
    _begin(context, _exchanges(context))
    _finish(context)


@then("less than {fraction:g} of the engines planned recently are in groups")
def step_present(context, fraction):
    pacer = MovePacer()
    present = {
        name: plan._replace(
            groups=tuple(group._replace(is_retired=False) for group in plan.groups)
        )
        for name, plan in context.plans.items()
    }
    pacer.update(present, 0.0)
    assert pacer.present_fraction == 1.0
    pacer.update(context.plans, 5.0)
    assert pacer.present_fraction < fraction, pacer.present_fraction
