"""Steps over heads of groups, as the list and news tell of them."""

from behave import given, then, when

from cowslipcourse.entry.heads import GroupHeads
from cowslipcourse.peers import GroupUpdate, OpenedHead
from cowslipcourse.ports import GroupMembership, GroupState, TargetEntry

FIRST, SECOND = 100, 200
OPENS_IN_S = 0.05


def _entry(engine, group, epoch, state, incarnation=FIRST):
    return TargetEntry(
        engine,
        "llm",
        "10.0.0.1:1",
        "dc",
        13,
        domain="d1",
        membership=GroupMembership(group, epoch, 0, GroupState(state), "large"),
        incarnation=incarnation,
    )


def _show(context, entry):
    context.entries[entry.id] = entry
    context.heads.update_entries(context.entries.values())


@given(
    "the list shows h1 as open head of g1 at epoch 5, and h2 as ready head of g2 at "
    "epoch 7"
)
def step_list(context):
    context.entries, context.heads = {}, GroupHeads()
    _show(context, _entry("h1", "g1", 5, "open"))
    _show(context, _entry("h2", "g2", 7, "ready"))


def _tell(context, news, now):
    context.heads.apply_group_update(news, context.entries.values(), now)


@when("news comes at {now:f} s that {group} is given up")
def step_given_up(context, now, group):
    _tell(context, GroupUpdate(group, 6), now)


@when("news comes at {now:f} s that {group} is formed anew at epoch {epoch:d}")
def step_formed_anew(context, now, group, epoch):
    _tell(context, GroupUpdate(group, epoch), now)


@when(
    "news comes at {now:f} s that {engine} opens {group} at epoch {epoch:d} in "
    "{seconds:f} s"
)
def step_opens(context, now, engine, group, epoch, seconds):
    head = OpenedHead(engine, FIRST, "large", seconds)
    _tell(context, GroupUpdate(group, epoch, head), now)


@when("the list shows {engine} as {state} head of {group} at epoch {epoch:d}")
def step_shows(context, engine, state, group, epoch):
    _show(context, _entry(engine, group, epoch, state))


@when("h2 starts again")
def step_again(context):
    _show(context, _entry("h2", "g2", 7, "ready", SECOND))


def _serving(context, now):
    return {entry.id for entry in context.heads.serving_heads("llm", "large", now)}


@then("nobody serves at {now:f} s")
def step_nobody(context, now):
    assert not _serving(context, now)


@then("{engine} serves at {now:f} s")
def step_one(context, engine, now):
    assert _serving(context, now) == {engine}, _serving(context, now)


@then("h1 and h2 serve at {now:f} s")
def step_two(context, now):
    assert _serving(context, now) == {"h1", "h2"}, _serving(context, now)


@given(
    "a load of {rate:d} requests a second for {length:f} s while g1 ends at {ended:f} "
    "s and g2 opens at {opened:f} s"
)
def step_load(context, rate, length, ended, opened):
    context.times = [number / rate for number in range(int(rate * length))]
    context.ended_s, context.opened_s = ended, opened


@given("a list that is {late:f} s late")
def step_late(context, late):
    context.late_s = late


def _play(context, with_news):
    """Return the numbers of requests to an ended group, and g2's first time."""
    step_list(context)
    told, wrong, first = set(), 0, None
    changes = [
        (context.ended_s, "list", _entry("h1", "g1", 5, "broken")),
        (context.opened_s, "list", _entry("h2", "g2", 7, "open")),
        (context.ended_s, "news", GroupUpdate("g1", 6)),
        (
            context.opened_s - OPENS_IN_S,
            "news",
            GroupUpdate("g2", 7, OpenedHead("h2", FIRST, "large", OPENS_IN_S)),
        ),
    ]
    for now in context.times:
        for number, (at, kind, change) in enumerate(changes):
            due_at = at + (context.late_s if kind == "list" else 0.0)
            if now < due_at or number in told or (kind == "news" and not with_news):
                continue
            told.add(number)
            if kind == "list":
                _show(context, change)
            else:
                _tell(context, change, now)
        serving = _serving(context, now)
        wrong += "h1" in serving and now >= context.ended_s
        if "h2" in serving and first is None:
            first = now
    return wrong, first


@then(
    "without news {number:d} requests go to a group that has ended and g2 takes none "
    "until {first:f} s"
)
def step_without(context, number, first):
    assert _play(context, False) == (number, first), _play(context, False)


@then("with news none goes there and g2 takes its first by {first:f} s")
def step_with(context, first):
    wrong, found = _play(context, True)
    assert wrong == 0 and found <= first, (wrong, found)
