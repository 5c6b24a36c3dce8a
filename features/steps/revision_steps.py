"""Steps over plans of fabric domains."""

from behave import given, then, when

from cowslipcourse.groups import (
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

SIZES = {"large": 4, "small": 2}
MODELS = (
    EngineModel("large", 4, 0.67, 1.0, 16.0, 1.6),
    EngineModel("small", 2, 0.33, 0.6, 12.0, 1.1),
)
NO_DEMANDS = ()
NO_SPARES = DomainAssignment(None, 0)


def _view(engine_id, staged=(), is_free=False):
    return EngineView(engine_id, staged, is_live=True, is_free=is_free)


def _revise(context, model_demands=NO_DEMANDS, broken=frozenset()):
    views = context.views.values()
    context.revised = revise_plan(
        context.plan, views, SIZES, model_demands, context.shape, broken
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
    context.shape = MIXED_ASSIGNMENT


@given("a domain with a group of {model} on {members}")
def step_domain(context, model, members):
    _add_group(context, model, tuple(members.split()))


@given("a group of {model} on {members}")
def step_group(context, model, members):
    _add_group(context, model, tuple(members.split()))


@given("the spares {first} that holds {one} and {second} that holds {other}")
def step_spares(context, first, one, second, other):
    for engine, model in ((first, one), (second, other)):
        context.views[engine] = _view(engine, (model,), is_free=True)


@given("the domain serves {model} alone")
def step_one_model(context, model):
    context.shape = DomainAssignment(model, 0)


@given("the list has never told of {members}")
def step_never_listed(context, members):
    for member in members.split():
        del context.views[member]


@when("the domains north and south form their first group each")
def step_form(context):
    views = [_view(f"e{number}", is_free=True) for number in range(4)]
    context.groups = [
        revise_plan(
            DomainPlan(domain), views, SIZES, [ModelDemand("large", 4, 1.0)], NO_SPARES
        )
        for domain in ("north", "south")
    ]


@then("the groups have different names")
def step_names(context):
    names = {groups[0].name for groups in context.groups}
    assert len(names) == 2, names


@when("{engine} is lost")
def step_lost(context, engine):
    lost = context.views[engine]._replace(is_live=False, is_listed=False)
    context.views[engine] = lost
    _revise(context)


@when("{first} and {second} are lost")
def step_both_lost(context, first, second):
    for engine in (first, second):
        lost = context.views[engine]._replace(is_live=False, is_listed=False)
        context.views[engine] = lost
    _revise(context)


@when("{first} and {second} are silent")
def step_both_silent(context, first, second):
    for engine in (first, second):
        context.views[engine] = context.views[engine]._replace(is_live=False)
    _revise(context)


@when("{engine} says that it will leave")
def step_leaves(context, engine):
    changed = context.views[engine]._replace(is_live=False, is_leaving=True)
    context.views[engine] = changed
    _revise(context)


@when("{engine} is {seconds:d} s away from being ready")
def step_loading(context, engine, seconds):
    changed = context.views[engine]._replace(ready_in_s=float(seconds))
    context.views[engine] = changed
    _revise(context)


@when("{engine} runs at {pace:d} times its usual times")
def step_slow(context, engine, pace):
    context.views[engine] = context.views[engine]._replace(pace=float(pace))
    _revise(context)


@when("{wanted} is wanted more than {other}")
def step_wanted_more(context, wanted, other):
    model_demands = [
        ModelDemand(wanted, SIZES[wanted], 2.0),
        ModelDemand(other, SIZES[other], 1.0),
    ]
    _revise(context, model_demands)


@when("that is in force and the spare {engine} that holds {model} comes")
def step_comes(context, engine, model):
    context.plan = context.plan._replace(
        version=context.plan.version + 1, groups=context.revised
    )
    context.views[engine] = _view(engine, (model,), is_free=True)
    _revise(context)


@when("the group is broken")
def step_broken(context):
    _revise(context, broken=frozenset(["g1"]))


@then("the group keeps its name, gets a higher epoch and has the members {members}")
def step_repaired(context, members):
    (group,) = context.revised
    assert group.name == "g1"
    assert group.epoch == context.plan.version + 1
    assert group.members == tuple(members.split()), group


@then("nothing changes")
def step_unchanged(context):
    assert context.revised == context.plan.groups, context.revised


@then("the domain has no groups")
def step_none(context):
    assert context.revised == (), context.revised


@then("the group of {model} is given up")
def step_given_up(context, model):
    retired = [group.model for group in context.revised if group.is_retired]
    assert retired == [model], context.revised


@given("the free engines {free}")
def step_free(context, free):
    context.free = []
    for word in free.split():
        engine, _, held = word.partition("=")
        entry = TargetEntry(engine, "llm", "a:1", "dc", 13, domain="north")
        context.free.append(
            ObservedEngine(entry._replace(staged=(held,) if held else ()))
        )


@when("it is decided what they shall hold")
def step_stage(context):
    context.loads = choose_staging(context.plan, context.free, MODELS, frozenset())


@then("they load {loads}")
def step_loads(context, loads):
    expected = {} if loads == "nothing" else dict(w.split("=") for w in loads.split())
    assert context.loads == expected, context.loads


@given("four engines a, b, c and d in no group, of which only a holds large")
def step_one_warm(context):
    for engine in "abcd":
        staged = ("large",) if engine == "a" else ()
        context.views[engine] = _view(engine, staged, is_free=True)


@when("groups are formed")
def step_groups_formed(context):
    _revise(context, model_demands=[ModelDemand("large", 4, 1.0)])


@then("one group of {model} on {members} is planned")
def step_one_group(context, model, members):
    (group,) = context.revised
    assert (group.model, group.members) == (model, tuple(members.split())), group


@then("a group of {model} on {members} is added")
def step_added(context, model, members):
    before = set(context.plan.groups)
    added = [group for group in context.revised if group not in before]
    assert before <= set(context.revised), context.revised
    found = [(group.model, group.members) for group in added]
    assert found == [(model, tuple(members.split()))], context.revised
