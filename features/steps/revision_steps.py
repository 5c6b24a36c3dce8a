"""Steps for the revision of plans of fabric domains."""

from behave import given, then, when

from cowslipcourse.group_plans import (
    MIXED_ASSIGNMENT,
    DomainAssignment,
    DomainPlan,
    EngineView,
    ModelDemand,
    ObservedEngine,
    PlannedGroup,
    choose_staging,
    revise_plan,
)
from cowslipcourse.ports import TargetEntry
from cowslipcourse.routes import EngineModel

GROUP_SIZES = {"large": 4, "small": 2}
MODELS = (
    EngineModel("large", 4, 0.67, 1.0, 16.0, 1.6),
    EngineModel("small", 2, 0.33, 0.6, 12.0, 1.1),
)
NO_DEMANDS = ()
ANY_MODEL_NO_SPARES = DomainAssignment(None, 0)


def _view(engine_id, staged=(), is_free=False):
    return EngineView(engine_id, staged, is_live=True, is_free=is_free)


def _revise(context, model_demands=NO_DEMANDS, broken=frozenset()):
    views = context.views.values()
    context.revised_groups = revise_plan(
        context.plan, views, GROUP_SIZES, model_demands, context.assignment, broken
    )


def _add_group(context, model, members):
    number = len(context.plan.groups) + 1
    group = PlannedGroup(f"g{number}", model, 3, members)
    context.plan = context.plan._replace(groups=(*context.plan.groups, group))
    for member in members:
        context.views[member] = _view(member, (model,))


@given("the models large of 4 engines and small of 2")
def step_models(context):
    context.plan = DomainPlan("north", 7)
    context.views = {}
    context.assignment = MIXED_ASSIGNMENT


@given("a domain with a group of {model} on {members}")
def step_domain_with_group(context, model, members):
    _add_group(context, model, tuple(members.split()))


@given("a group of {model} on {members}")
def step_another_group(context, model, members):
    _add_group(context, model, tuple(members.split()))


@given("the spares {first} storing {first_model} and {second} storing {second_model}")
def step_spares(context, first, first_model, second, second_model):
    for engine, model in ((first, first_model), (second, second_model)):
        context.views[engine] = _view(engine, (model,), is_free=True)


@given("the domain serves {model} alone")
def step_single_model_domain(context, model):
    context.assignment = DomainAssignment(model, 0)


@given("the target list never had {members}")
def step_never_listed(context, members):
    for member in members.split():
        del context.views[member]


@when("the domains north and south form their first group each")
def step_form_first_groups(context):
    views = [_view(f"e{number}", is_free=True) for number in range(4)]
    context.groups = [
        revise_plan(
            DomainPlan(domain),
            views,
            GROUP_SIZES,
            [ModelDemand("large", 4, 1.0)],
            ANY_MODEL_NO_SPARES,
        )
        for domain in ("north", "south")
    ]


@then("the groups have different names")
def step_unique_names(context):
    names = {groups[0].name for groups in context.groups}
    assert len(names) == 2, names


@when("{engine} is lost")
def step_lost(context, engine):
    view = context.views[engine]._replace(is_live=False, is_listed=False)
    context.views[engine] = view
    _revise(context)


@when("{first} and {second} are lost")
def step_both_lost(context, first, second):
    for engine in (first, second):
        view = context.views[engine]._replace(is_live=False, is_listed=False)
        context.views[engine] = view
    _revise(context)


@when("{first} and {second} are silent")
def step_both_silent(context, first, second):
    for engine in (first, second):
        context.views[engine] = context.views[engine]._replace(is_live=False)
    _revise(context)


@when("{engine} announces that it will leave")
def step_leaving(context, engine):
    view = context.views[engine]._replace(is_live=False, is_leaving=True)
    context.views[engine] = view
    _revise(context)


@when("{engine} is {seconds:d} s away from being ready")
def step_loading(context, engine, seconds):
    view = context.views[engine]._replace(ready_in_s=float(seconds))
    context.views[engine] = view
    _revise(context)


@when("{engine} takes {pace:d} times its nominal times")
def step_slow(context, engine, pace):
    context.views[engine] = context.views[engine]._replace(pace=float(pace))
    _revise(context)


@when("{demanded} has a higher demand than {other}")
def step_higher_demand(context, demanded, other):
    model_demands = [
        ModelDemand(demanded, GROUP_SIZES[demanded], 2.0),
        ModelDemand(other, GROUP_SIZES[other], 1.0),
    ]
    _revise(context, model_demands)


@when("that plan is in force and the spare {engine} storing {model} is added")
def step_spare_added(context, engine, model):
    context.plan = context.plan._replace(
        version=context.plan.version + 1, groups=context.revised_groups
    )
    context.views[engine] = _view(engine, (model,), is_free=True)
    _revise(context)


@when("the group is broken")
def step_broken(context):
    _revise(context, broken=frozenset(["g1"]))


@then("the group keeps its name, gets a higher epoch and has the members {members}")
def step_repaired(context, members):
    (group,) = context.revised_groups
    assert group.name == "g1"
    assert group.epoch == context.plan.version + 1
    assert group.members == tuple(members.split()), group


@then("nothing changes")
def step_plan_unchanged(context):
    assert context.revised_groups == context.plan.groups, context.revised_groups


@then("the domain has no groups")
def step_no_groups(context):
    assert context.revised_groups == (), context.revised_groups


@then("the group of {model} is retired")
def step_retired(context, model):
    retired = [group.model for group in context.revised_groups if group.is_retired]
    assert retired == [model], context.revised_groups


@given("the free engines {free}")
def step_free_engines(context, free):
    context.free_engines = []
    for spec in free.split():
        engine, _, stored = spec.partition("=")
        entry = TargetEntry(engine, "llm", "a:1", "dc", 13, domain="north")
        context.free_engines.append(
            ObservedEngine(entry._replace(staged=(stored,) if stored else ()))
        )


@when("models are chosen for them to load")
def step_choose_staging(context):
    context.staging = choose_staging(
        context.plan, context.free_engines, MODELS, frozenset()
    )


@then("they load {loads}")
def step_loads(context, loads):
    expected = (
        {} if loads == "nothing" else dict(spec.split("=") for spec in loads.split())
    )
    assert context.staging == expected, context.staging


@given("four engines a, b, c and d in no group, of which only a stores large")
def step_one_warm_engine(context):
    for engine in "abcd":
        staged = ("large",) if engine == "a" else ()
        context.views[engine] = _view(engine, staged, is_free=True)


@when("groups are formed")
def step_groups_formed(context):
    _revise(context, model_demands=[ModelDemand("large", 4, 1.0)])


@then("one group of {model} on {members} is planned")
def step_one_group_planned(context, model, members):
    (group,) = context.revised_groups
    assert (group.model, group.members) == (model, tuple(members.split())), group


@then("a group of {model} on {members} is added")
def step_group_added(context, model, members):
    previous = set(context.plan.groups)
    added = [group for group in context.revised_groups if group not in previous]
    assert previous <= set(context.revised_groups), context.revised_groups
    added_groups = [(group.model, group.members) for group in added]
    assert added_groups == [(model, tuple(members.split()))], context.revised_groups
