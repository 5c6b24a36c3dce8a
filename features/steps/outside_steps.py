"""Steps for input from other processes that may be damaged."""

import asyncio
import json
import logging

from behave import given, then, when
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis import given as given_values

from cowslipcourse.emulator.clock import run_in_virtual_time
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


def _decode_all(context, input_count, valid, decode, check):
    context.accepted, context.refused, context.mismatches = 0, 0, []

    @seed(1)
    @settings(
        max_examples=input_count,
        database=None,
        deadline=None,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
    @given_values(damaged(valid))
    def run(value):
        try:
            decoded = decode(value)
        except REFUSALS:
            context.refused += 1
            return
        except Exception as error:
            context.mismatches.append((value, error))
            return
        context.accepted += 1
        try:
            check(decoded)
        except Exception as error:
            context.mismatches.append((value, error))

    run()


@when("{input_count:d} inputs are decoded as {input_kind} without type checks")
def step_decode_lenient(context, input_count, input_kind):
    valid, _, check = DECODERS[input_kind]
    _decode_all(context, input_count, valid, lenient_entry, check)


@when("{input_count:d} inputs are decoded as {input_kind}")
def step_decode(context, input_count, input_kind):
    _decode_all(context, input_count, *DECODERS[input_kind])


@then("each was refused with the typed error or matches its types")
def step_all_match(context):
    assert not context.mismatches, context.mismatches[:3]


@then("some were accepted and some refused")
def step_accepted_and_refused(context):
    assert context.accepted and context.refused, (context.accepted, context.refused)


@then("the check finds one that was neither refused nor matches its types")
def step_mismatch_found(context):
    assert context.mismatches


class _LogRecorder(logging.Handler):
    def __init__(self):
        super().__init__()
        self.events = []

    def emit(self, record):
        self.events.append((record.getMessage(), record.fields.get("id")))


@given("a list with the valid entries t1 and t2")
def step_list(context):
    context.log_recorder = _LogRecorder()
    logger = logging.getLogger(target_list.__name__)
    logger.addHandler(context.log_recorder)
    level = logger.level
    logger.setLevel(logging.INFO)
    context.resources.callback(logger.removeHandler, context.log_recorder)
    context.resources.callback(logger.setLevel, level)
    context.list = TargetList()
    valid = {"t1": entry_content(), "t2": entry_content()}
    context.list.apply(valid, ())


@when("{target} is received with {bad_field}")
def step_received(context, target, bad_field):
    fields = BAD_FIELDS.get(bad_field, {})
    content = {target: entry_content(**fields)}
    context.entry_changes = context.list.apply(content, ())


@when("{target} is received as started {delay_ms:d} ms later")
def step_received_incarnation(context, target, delay_ms):
    content = {target: entry_content(born=BORN_MS + delay_ms)}
    context.entry_changes = context.list.apply(content, ())


@when("{target} is received without its start time")
def step_received_without_start(context, target):
    fields = entry_fields()
    del fields["born"]
    context.entry_changes = context.list.apply(
        {target: json.dumps(fields).encode()}, ()
    )


@when("{target} is removed")
def step_removed(context, target):
    context.list.apply({}, (target,))


@when("the whole list is read again")
def step_read_again(context):
    context.list.replace(dict(context.list.contents))


@then("the list contains {targets}")
def step_contents(context, targets):
    target_ids = {target for target in targets.split() if target != "and"}
    assert set(context.list.entries) == target_ids, context.list.entries


@then("{target} is listed as started {delay_ms:d} ms later")
def step_listed_incarnation(context, target, delay_ms):
    assert context.list.entries[target].incarnation == BORN_MS + delay_ms


@then("{target} is listed as {state}")
def step_listed_state(context, target, state):
    (entry,) = context.entry_changes.entries
    assert entry.id == target and entry.is_leaving == (state == "leaving")


@then("{count_word} line says that {target} is unreadable")
@then("{count_word} lines say that {target} is unreadable")
def step_log_lines(context, count_word, target):
    line_count = context.log_recorder.events.count(("entry-unreadable", target))
    assert line_count == {"one": 1, "two": 2}[count_word], context.log_recorder.events


@when(
    "a configuration arrives whose second route has no prefix and whose second key "
    "list is a number"
)
def step_invalid_parts(context):
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
def step_valid_parts_in_force(context):
    table = context.decoded.table
    route = table.find("h", "/a/x")
    assert table.workspace(route, "k1").name == "good"


@then("two parts are reported as refused")
def step_problem_count(context):
    assert len(context.decoded.problems) == 2, context.decoded.problems


@given("a daemon with a configuration in force")
def step_daemon(context):
    context.store = FlakyStore()


@when("the store returns a configuration that is a list")
def step_list_configuration(context):
    async def run():
        replica, _, listener = make_replica(context.store)
        tasks = [asyncio.create_task(c) for c in replica.coroutines()]
        await asyncio.sleep(3.0)
        context.previous_table = listener.table
        context.store.configuration_content = b"[]"
        replica.set_following(False)
        await asyncio.sleep(0.5)
        replica.set_following(True)
        await asyncio.sleep(3.0)
        context.current_table, context.is_current = listener.table, replica.is_current
        for task in tasks:
            task.cancel()

    run_in_virtual_time(run())


@then("the configuration in force is the same, and the store counts as available")
def step_same_configuration(context):
    assert (
        context.previous_table is not None
        and context.current_table is context.previous_table
    )
    assert context.is_current
