"""Steps over contents that come from outside and may be damaged."""

import asyncio
import json
import logging

from behave import given, then, when
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis import given as draw

from cowslipcourse.emulator.clock import run_paused
from cowslipcourse.entry import target_list
from cowslipcourse.entry.target_list import TargetList
from cowslipcourse.platform import decode_configuration
from features.support.knowledge import FlakyStore, make_replica
from features.support.outside import DECODERS, REFUSALS, damaged, lenient_entry
from features.support.wire import BORN_MS, entry_content, entry_fields

BAD_FIELDS = {
    "a service that is a number": {"service": 7},
    "slots that are -3": {"slots": -3},
    "an address that is null": {"address": None},
}


def _decode_all(context, number, good, decode, check):
    context.taken, context.refused, context.wrong = 0, 0, []

    @seed(1)
    @settings(
        max_examples=number,
        database=None,
        deadline=None,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
    @draw(damaged(good))
    def run(value):
        try:
            found = decode(value)
        except REFUSALS:
            context.refused += 1
            return
        except Exception as error:
            context.wrong.append((value, error))
            return
        context.taken += 1
        try:
            check(found)
        except Exception as error:
            context.wrong.append((value, error))

    run()


@when("{number:d} contents are decoded as {what}, fields as they come")
def step_decode_lenient(context, number, what):
    good, _, check = DECODERS[what]
    _decode_all(context, number, good, lenient_entry, check)


@when("{number:d} contents are decoded as {what}")
def step_decode(context, number, what):
    _decode_all(context, number, *DECODERS[what])


@then("each was refused with the typed error or taken in its types")
def step_all_fit(context):
    assert not context.wrong, context.wrong[:3]


@then("some were taken and some refused")
def step_both(context):
    assert context.taken and context.refused, (context.taken, context.refused)


@then("the check finds one that was neither refused nor taken in its types")
def step_found_out(context):
    assert context.wrong


class _Lines(logging.Handler):
    def __init__(self):
        super().__init__()
        self.events = []

    def emit(self, record):
        self.events.append((record.getMessage(), record.fields.get("id")))


@given("a list with the good entries t1 and t2")
def step_list(context):
    context.lines = _Lines()
    logger = logging.getLogger(target_list.__name__)
    logger.addHandler(context.lines)
    level = logger.level
    logger.setLevel(logging.INFO)
    context.resources.callback(logger.removeHandler, context.lines)
    context.resources.callback(logger.setLevel, level)
    context.list = TargetList()
    good = {"t1": entry_content(), "t2": entry_content()}
    context.list.apply(good, ())


@when("{target} comes with {what}")
def step_comes(context, target, what):
    fields = BAD_FIELDS.get(what, {})
    content = {target: entry_content(**fields)}
    context.changes = context.list.apply(content, ())


@when("{target} comes as it started {later:d} ms later")
def step_comes_life(context, target, later):
    content = {target: entry_content(born=BORN_MS + later)}
    context.changes = context.list.apply(content, ())


@when("{target} comes without the time of its start")
def step_comes_untold(context, target):
    fields = entry_fields()
    del fields["born"]
    context.changes = context.list.apply({target: json.dumps(fields).encode()}, ())


@when("{target} is dropped")
def step_dropped(context, target):
    context.list.apply({}, (target,))


@when("the whole list is read again")
def step_read_again(context):
    context.list.replace(dict(context.list.contents))


@then("the list names {targets}")
def step_names(context, targets):
    names = {target for target in targets.split() if target != "and"}
    assert set(context.list.entries) == names, context.list.entries


@then("{target} is known as it started {later:d} ms later")
def step_known_life(context, target, later):
    assert context.list.entries[target].incarnation == BORN_MS + later


@then("{target} is named as {state}")
def step_state(context, target, state):
    (entry,) = context.changes.entries
    assert entry.id == target and entry.is_leaving == (state == "leaving")


@then("{number} line says that {target} cannot be read")
@then("{number} lines say that {target} cannot be read")
def step_lines(context, number, target):
    count = context.lines.events.count(("entry-unreadable", target))
    assert count == {"one": 1, "two": 2}[number], context.lines.events


@when(
    "a configuration comes whose second route has no prefix and whose second key list "
    "is a number"
)
def step_bad_parts(context):
    route = {
        "name": "r",
        "host": "h",
        "prefix": "/a/",
        "kind": "idempotent",
        "timeoutMs": 100,
        "service": "s",
    }
    content = {
        "version": 3,
        "routes": [route, {**route, "prefix": None}],
        "services": [{"name": "s"}],
        "tenants": [
            {"name": "good", "apiKeys": ["k1"]},
            {"name": "bad", "apiKeys": 7},
        ],
    }
    context.decoded = decode_configuration(json.dumps(content).encode())


@then("its first route and its first workspace are in force")
def step_good_parts(context):
    table = context.decoded.table
    route = table.find("h", "/a/x")
    assert table.workspace(route, "k1").name == "good"


@then("two parts are named as refused")
def step_two_problems(context):
    assert len(context.decoded.problems) == 2, context.decoded.problems


@given("a daemon with a configuration in force")
def step_daemon(context):
    context.store = FlakyStore()


@when("the store tells a configuration that is a list")
def step_list_configuration(context):
    async def run():
        knowledge, _, listener = make_replica(context.store)
        tasks = [asyncio.create_task(c) for c in knowledge.coroutines()]
        await asyncio.sleep(3.0)
        context.before = listener.table
        context.store.configuration_content = b"[]"
        knowledge.set_following(False)
        await asyncio.sleep(0.5)
        knowledge.set_following(True)
        await asyncio.sleep(3.0)
        context.after, context.is_current = listener.table, knowledge.is_current
        for task in tasks:
            task.cancel()

    run_paused(run())


@then("the configuration in force is the same, and the store counts as answering")
def step_same_configuration(context):
    assert context.before is not None and context.after is context.before
    assert context.is_current
