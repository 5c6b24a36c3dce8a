"""Steps for streams through daemon processes at targets that pause."""

import subprocess
import sys

from behave import given, then, when

from features.steps.platform_steps import start_platform
from features.support.paused_site import (
    LONG_SCHEDULE,
    SCHEDULE,
    SHORT_SCHEDULE,
    STREAM_ROUTES,
    PausedSite,
)
from features.support.paused_streams import stream_beside

BUSY_PROGRAM = "while True: pass"
MIN_IN_FLIGHT = 2
"""Streams of each kind that must have begun before each pause, or are sent in it."""
UNNOTICED_S = 0.25
"""Time from the start of a pause in which no daemon can have noticed it."""


@given("a platform with four daemons, whose engines answer {what} during a pause")
def step_platform(context, what):
    start_platform(context, PausedSite(answers_reports=what == "status requests"))


@given("{count:d} busy processes")
def step_busy(context, count):
    for _ in range(count):
        process = subprocess.Popen([sys.executable, "-c", BUSY_PROGRAM])
        context.resources.callback(process.wait)
        context.resources.callback(process.kill)


def _stream(context, disturbances, with_changes, with_pauses):
    running = stream_beside(context.platform, disturbances, with_changes, with_pauses)
    context.stream_run = context.runner.run(running)


@when("callers stream during all changes of the configuration and all pauses")
def step_all(context):
    _stream(context, SCHEDULE, with_changes=True, with_pauses=True)


@when("callers stream during changes of the configuration and pauses of 2.4 s to 3.4 s")
def step_long(context):
    _stream(context, LONG_SCHEDULE, with_changes=True, with_pauses=True)


@when("callers stream during {disturbances} alone")
def step_alone(context, disturbances):
    _stream(
        context,
        SHORT_SCHEDULE,
        with_changes=disturbances == "changes of the configuration",
        with_pauses=disturbances == "pauses",
    )


@then(
    "streams of both kinds were in flight in each pause, before their first event "
    "and after it"
)
def step_in_flight(context):
    run = context.stream_run
    for pause in run.pauses:
        for route in STREAM_ROUTES:
            calls = [c for c in run.passed_on_calls if c.route == route]
            begun = [c for c in calls if c.begun_s and c.begun_s <= pause.at_s]
            running = [call for call in begun if call.ended_s > pause.at_s]
            assert len(running) >= MIN_IN_FLIGHT, (pause, route, len(running))
            last_sent_s = pause.at_s + UNNOTICED_S
            sent = [c for c in calls if pause.at_s <= c.sent_s <= last_sent_s]
            assert len(sent) >= MIN_IN_FLIGHT, (pause, route, len(sent))


@then("each stream that was passed on to a target is whole or has used its time")
def step_whole(context):
    run = context.stream_run
    assert not run.lost_calls, run.report()


@then("no stream has used its time")
def step_not_late(context):
    run = context.stream_run
    assert not run.late_calls, run.report()


@then("all daemons have had each configuration in force")
def step_configurations(context):
    site = context.platform
    first_version = site.configuration_version - len(SCHEDULE) + 1
    for name, log in site.logs().items():
        for version in range(first_version, site.configuration_version + 1):
            line = f"event=configuration version={version} "
            assert line in log, (name, version)
