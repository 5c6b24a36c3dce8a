"""Steps over the soak and over its checks."""

import asyncio
import shutil
from types import SimpleNamespace

from behave import given, then, when

from features.support.platform_site import Arrival, PlainRun, stream_events
from soak.checks import check
from soak.history import CallKind, CallRecord, SiteHistory
from soak.run import soak_run

_CALL = CallRecord(
    CallKind.BOOKING, "n1", "c1", "a1", 1, None, 10.0, 10.5, 200, b"done", True
)
_STREAM = _CALL._replace(
    kind=CallKind.STREAM, body=b"".join(stream_events("n1")), status=200
)
_LOOKUP = _CALL._replace(kind=CallKind.LOOKUP)
_RUN = PlainRun("c1", "/book/n1", "p1", 10.2)


@when("the soak runs seeds {first:d} to {last:d} with {seconds:d} s of faults each")
def step_soak(context, first, last, seconds):
    context.found = []
    for seed in range(first, last + 1):
        violations, site = asyncio.run(soak_run(seed, float(seconds)))
        context.found += [f"seed {seed}: {each}" for each in violations]
        shutil.rmtree(site.folder)


@then("no promise was broken")
def step_kept(context):
    assert not context.found, context.found[:5]


class _Clock:
    """Stands for a loop, for histories that are made up."""

    def __init__(self):
        self.now = 0.0

    def time(self):
        return self.now


def _disturb(context, subject, at, is_planned):
    history, clock = context.site.history, context.clock
    clock.now = at
    with history.disturbance(subject, is_planned):
        clock.now = at + 0.1


def _cut(context, is_planned):
    _disturb(context, "a1", 10.1, is_planned)
    context.site.history.calls.append(_STREAM._replace(body=None))


def _take_key_away(context, at=6.0):
    context.site.history.configured_at |= {1: 1.0, 2: at}


def _serve_old_key(context):
    _take_key_away(context)
    context.site.history.calls.append(_LOOKUP._replace(turn=1))
    context.site.runs.append(_RUN)


def _refuse_new_key(context):
    _take_key_away(context)
    context.site.history.calls.append(_LOOKUP._replace(turn=2, status=401))


def _go_back(context):
    _take_key_away(context, at=9.0)
    calls = [
        _LOOKUP._replace(turn=2, began_at=9.5, ended_at=9.6),
        _LOOKUP._replace(turn=1, attempt="c2"),
    ]
    context.site.history.calls += calls
    context.site.runs += [_RUN, _RUN._replace(attempt="c2")]


def _leave(context, left_at):
    context.site.history.left_at["p1"] = left_at
    context.site.history.calls.append(_CALL)
    context.site.runs.append(_RUN)


def _end_targets(context, arrivals, after_s):
    site = context.site
    site.ends = [Arrival("end-1", f"c{n}", 2.0) for n in range(3)]
    later = [f"c{n}" for n in range(10, 10 + arrivals)]
    site.arrivals = [Arrival("end-1", each, 2.0 + after_s) for each in later]
    broken = _STREAM._replace(body=None, status=502)
    site.history.calls += [broken._replace(attempt=each) for each in later]
    _disturb(context, "targets", 10.0, False)


def _serve_old_key_without_store(context):
    _disturb(context, "store", 8.0, False)
    _serve_old_key(context)


def _add(context, *calls, runs=0):
    context.site.history.calls += calls
    context.site.runs += [_RUN] * runs


_HISTORIES = {
    "a stream lacks an event": lambda c: _add(
        c, _STREAM._replace(body=b"".join(stream_events("n1")[:-1]))
    ),
    "a booking ran twice": lambda c: _add(c, _CALL, runs=2),
    "a booking that was told not run had run": lambda c: _add(
        c, _CALL._replace(status=503), runs=1
    ),
    "a booking succeeded without a run": lambda c: _add(c, _CALL),
    "a planned stop cut a stream": lambda c: _cut(c, True),
    "a killed daemon cut a stream": lambda c: _cut(c, False),
    "a key is served 4 s after it was taken away": _serve_old_key,
    "a key is served 4 s after it was taken away, without the store": (
        _serve_old_key_without_store
    ),
    "a new key is refused 4 s after it came": _refuse_new_key,
    "a daemon takes an old key after a newer one": _go_back,
    "a target gets a request 4 s after it began to leave": lambda c: _leave(c, 6.2),
    "a target gets a request 1 s after it began to leave": lambda c: _leave(c, 9.2),
    "a request reaches 4 targets 4 s after it ended three": lambda c: _end_targets(
        c, 4, 4.0
    ),
    "a request reaches 3 targets 4 s after it ended three": lambda c: _end_targets(
        c, 3, 4.0
    ),
    "a process ended by itself": lambda c: c.site.history.own_ends.append(("a1", 70)),
}


@given("a soak's history in which {what}")
def step_history(context, what):
    context.clock = _Clock()
    context.site = SimpleNamespace(
        history=SiteHistory(context.clock.time),
        runs=[],
        ends=[],
        arrivals=[],
        world=SimpleNamespace(violations=[]),
    )
    _HISTORIES[what](context)
    context.clock.now = 20.0


@then('the checks say "{finding}"')
def step_noticed(context, finding):
    found = check(context.site)
    assert any(finding in each for each in found), found


@then("the checks say nothing")
def step_nothing(context):
    assert check(context.site) == []
