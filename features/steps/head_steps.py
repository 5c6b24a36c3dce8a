"""Steps for heads of groups, from the target list and group updates."""

from behave import given, then, when

from cowslipcourse.entry.group_heads import GroupHeads
from cowslipcourse.peer_protocol import GroupUpdate, OpenedHead
from cowslipcourse.ports import GroupMembership, GroupState, TargetEntry

FIRST_INCARNATION, SECOND_INCARNATION = 100, 200
OPENS_IN_S = 0.05


def _entry(engine, group, epoch, state, incarnation=FIRST_INCARNATION):
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


def _list_entry(context, entry):
    context.entries[entry.id] = entry
    context.heads.update_entries(context.entries.values())


@given(
    "the list shows h1 as open head of g1 at epoch 5, and h2 as ready head of g2 at "
    "epoch 7"
)
def step_list(context):
    context.entries, context.heads = {}, GroupHeads()
    _list_entry(context, _entry("h1", "g1", 5, "open"))
    _list_entry(context, _entry("h2", "g2", 7, "ready"))


def _apply_update(context, update, now):
    context.heads.apply_group_update(update, context.entries.values(), now)


@when("an update at {now:f} s gives up {group}")
def step_given_up(context, now, group):
    _apply_update(context, GroupUpdate(group, 6), now)


@when("an update at {now:f} s forms {group} again at epoch {epoch:d}")
def step_formed_again(context, now, group, epoch):
    _apply_update(context, GroupUpdate(group, epoch), now)


@when(
    "an update at {now:f} s says that {engine} opens {group} at epoch {epoch:d} in "
    "{serves_in_s:f} s"
)
def step_opens(context, now, engine, group, epoch, serves_in_s):
    head = OpenedHead(engine, FIRST_INCARNATION, "large", serves_in_s)
    _apply_update(context, GroupUpdate(group, epoch, head), now)


@when("the list shows {engine} as {state} head of {group} at epoch {epoch:d}")
def step_listed(context, engine, state, group, epoch):
    _list_entry(context, _entry(engine, group, epoch, state))


@when("h2 restarts")
def step_restarts(context):
    _list_entry(context, _entry("h2", "g2", 7, "ready", SECOND_INCARNATION))


def _serving(context, now):
    return {entry.id for entry in context.heads.serving_heads("llm", "large", now)}


@then("no head serves at {now:f} s")
def step_no_head_serves(context, now):
    assert not _serving(context, now)


@then("{engine} serves at {now:f} s")
def step_one_head_serves(context, engine, now):
    assert _serving(context, now) == {engine}, _serving(context, now)


@then("h1 and h2 serve at {now:f} s")
def step_both_heads_serve(context, now):
    assert _serving(context, now) == {"h1", "h2"}, _serving(context, now)


@given(
    "a load of {rate:d} requests a second for {duration_s:f} s while g1 ends at "
    "{ended_at:f} s and g2 opens at {opened_at:f} s"
)
def step_request_load(context, rate, duration_s, ended_at, opened_at):
    context.request_times = [number / rate for number in range(int(rate * duration_s))]
    context.ended_at, context.opened_at = ended_at, opened_at


@given("a list that is {delay_s:f} s late")
def step_list_delay(context, delay_s):
    context.list_delay_s = delay_s


def _simulate(context, with_updates):
    """Return the number of requests to an ended group, and g2's first serving time."""
    step_list(context)
    applied, misrouted, first_at = set(), 0, None
    changes = [
        (context.ended_at, "list", _entry("h1", "g1", 5, "broken")),
        (context.opened_at, "list", _entry("h2", "g2", 7, "open")),
        (context.ended_at, "update", GroupUpdate("g1", 6)),
        (
            context.opened_at - OPENS_IN_S,
            "update",
            GroupUpdate(
                "g2", 7, OpenedHead("h2", FIRST_INCARNATION, "large", OPENS_IN_S)
            ),
        ),
    ]
    for now in context.request_times:
        for number, (changed_at, kind, change) in enumerate(changes):
            due_at = changed_at + (context.list_delay_s if kind == "list" else 0.0)
            if (
                now < due_at
                or number in applied
                or (kind == "update" and not with_updates)
            ):
                continue
            applied.add(number)
            if kind == "list":
                _list_entry(context, change)
            else:
                _apply_update(context, change, now)
        serving = _serving(context, now)
        misrouted += "h1" in serving and now >= context.ended_at
        if "h2" in serving and first_at is None:
            first_at = now
    return misrouted, first_at


@then(
    "without updates {request_count:d} requests go to an ended group and g2 gets none "
    "until {first_at:f} s"
)
def step_without_updates(context, request_count, first_at):
    assert _simulate(context, False) == (request_count, first_at), _simulate(
        context, False
    )


@then(
    "with updates no request goes to an ended group and g2 gets its first by "
    "{first_at:f} s"
)
def step_with_updates(context, first_at):
    misrouted, first_served_at = _simulate(context, True)
    assert misrouted == 0 and first_served_at <= first_at, (misrouted, first_served_at)
