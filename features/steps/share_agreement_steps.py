"""Steps for the agreement on the models' shares."""

import asyncio
import contextlib
import json
import logging

from behave import given, then, when

from cowslipcourse.emulator.clock import VirtualTimeLoop
from features.support.log_records import recorded_logs
from features.support.share_runs import ShareStore, SharingDaemon, service_spec

DAEMONS = 3


def _pass_time(context, seconds):
    context.loop.run_until_complete(asyncio.sleep(seconds))


def _start(context):
    """Start the daemons once the preconditions are complete."""
    if context.is_started:
        return
    context.is_started = True
    for daemon in context.daemons:
        context.loop.call_soon(daemon.start)


def _row(small):
    declared = {"large": 0.5, "small": 0.5}
    shares = {"large": round(1 - small, 4), "small": small}
    return json.dumps({"declared": declared, "shares": shares}).encode()


def _set_up(context):
    context.loop = VirtualTimeLoop()
    context.add_cleanup(context.loop.close)
    context.store = ShareStore()
    context.daemons = [SharingDaemon(context.store) for _ in range(DAEMONS)]
    context.is_started = False
    logs = contextlib.ExitStack()
    context.records = logs.enter_context(
        recorded_logs("cowslipcourse.entry.model_shares")
    )
    context.add_cleanup(logs.close)
    context.add_cleanup(_stop, context.loop)


def _stop(loop):
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))


@given("three coordinators, the first of which is the first reporter")
def step_first_reporter(context):
    _set_up(context)
    context.daemons[0].scope.is_first = True


@given("three coordinators, none of which is the first reporter")
def step_no_first_reporter(context):
    _set_up(context)


@given("three daemons that coordinate nothing")
def step_not_coordinating(context):
    _set_up(context)
    for daemon in context.daemons:
        daemon.is_coordinating = False


@given("shares are declared")
def step_declared(context):
    for daemon in context.daemons:
        daemon.is_enabled = False


@given("a shares row that gives small {share:g}")
def step_row_share(context, share):
    context.store.put(_row(share))
    context.older_rows = dict(context.store.rows)


@given("a shares row {content}")
def step_row(context, content):
    context.store.put(content.encode())


@when("{seconds:d} s pass at the coordinators")
def step_pass(context, seconds):
    _start(context)
    _pass_time(context, seconds)


@when("it dies as it writes, and the second becomes the first reporter")
def step_die(context):
    def die():
        context.daemons[0].stop()
        context.daemons[1].scope.is_first = True

    context.store.before_write = die
    _start(context)
    _pass_time(context, 7.0)
    assert context.daemons[0].task.done()
    context.daemons = context.daemons[1:]


@then(
    "all others have the same shares, of which small has {share:g} or more {s:d} s on"
)
def step_later(context, share, s):
    _pass_time(context, s)
    step_same(context, share)


@when("another one writes {share:g} for small immediately before it")
def step_competitor(context, share):
    context.store.before_write = lambda: context.store.put(_row(share))
    _start(context)
    _pass_time(context, 8.0)
    assert context.store.before_write is None


@when("another one writes {share:g} for small")
def step_other_write(context, share):
    context.store.put(_row(share))


@when("its write gets no reply")
def step_reply(context):
    context.store.loses_reply = True


@when("the store of shares is away for {seconds:d} s")
def step_away(context, seconds):
    _start(context)
    context.store.is_away = True
    _pass_time(context, seconds)
    context.store.is_away = False


@when("the store of shares comes back without the row")
def step_restore_empty(context):
    context.store.restore({})


@when("the store of shares comes back with the row that gives small {share:g}")
def step_restore(context, share):
    context.store.restore(context.older_rows)


@when("operators declare {share:g} of the work for large")
def step_declare(context, share):
    for daemon in context.daemons:
        daemon.declare(service_spec(share, 1 - share))


@then("all have the same shares, of which small has {share:g} or more")
def step_same(context, share):
    found = {daemon.small_share() for daemon in context.daemons}
    assert len(found) == 1 and found.pop() >= share, [
        daemon.small_share() for daemon in context.daemons
    ]


@then("all have the declared shares")
def step_declared_shares(context):
    _start(context)
    for daemon in context.daemons:
        assert daemon.small_share() == daemon.spec.models[1].share


@then("each has called the store at most once in {seconds:g} s")
def step_call_rate(context, seconds):
    elapsed_s = context.loop.time() - 1000.0
    reads = context.store.calls.count("read")
    assert reads <= DAEMONS * (elapsed_s / seconds + 1), context.store.calls
    assert context.store.calls.count("write") == 1, context.store.calls


@then("the row was written once")
def step_written_once(context):
    assert context.store.calls.count("write") == 1, context.store.calls


@then("each has said so once")
def step_said_once(context):
    events = [r.getMessage() for r in context.records if r.levelno >= logging.WARNING]
    assert events == ["shares-unreadable"] * DAEMONS, events


@then("the store of shares was not called")
def step_no_call(context):
    assert context.store.calls == [], context.store.calls
