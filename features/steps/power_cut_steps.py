"""Steps for a loss of power of the store, all daemons and all targets."""

import asyncio
import functools

from behave import given, then, when

from features.steps.platform_steps import start_platform
from features.support.power_cut import TIME_BUDGET_S, PowerCutCallers, PowerCutSite

SERVING_TIMEOUT_S = 20.0
BEFORE_CUT_S = 1.0
OUTAGE_S = 3.0
"""Time from the loss of power until the first process starts again."""
RETURN_INTERVAL_S = 2.0
"""Time between the returns of parts that do not return together."""
IN_FLIGHT_MARGIN_S = 0.2
"""Time after the loss of power for which requests may have been sent before it: callers
that share the event loop of the platform send late."""


@given("a platform with three daemons that may lose power, whose groups serve")
def step_platform(context):
    async def wait(site):
        callers = PowerCutCallers(site)
        assert await callers.wait_until_serving(SERVING_TIMEOUT_S) is not None

    start_platform(context, PowerCutSite(), wait)


@when("everything loses power under requests, and returns as {order} with {rows}")
def step_power_cut(context, order, rows):
    site = context.platform
    returns = {
        "the daemons": site.return_daemons,
        "the targets": site.return_targets,
        "the store": functools.partial(site.return_store, site.copies[rows]),
    }

    async def actions():
        loop, callers = asyncio.get_running_loop(), PowerCutCallers(site)
        calling = asyncio.create_task(callers.run())
        await asyncio.sleep(BEFORE_CUT_S)
        site.cut_power()
        context.cut_at = loop.time()
        await asyncio.sleep(OUTAGE_S)
        for number, names in enumerate(order.split(", ")):
            await asyncio.sleep(RETURN_INTERVAL_S if number else 0.0)
            for name in names.split(" and "):
                await returns[name]()
        context.serving_after_s = await callers.wait_until_serving(SERVING_TIMEOUT_S)
        calling.cancel()
        await asyncio.gather(calling, return_exceptions=True)
        context.answers = callers.answers

    context.runner.run(actions())


@then("the requests that were cut look cut")
def step_cut(context):
    sent_before = [
        answer
        for answer in context.answers
        if answer.began_at < context.cut_at + IN_FLIGHT_MARGIN_S
    ]
    assert any(answer.body is None for answer in sent_before)
    for answer in sent_before:
        assert answer.is_served or answer.status != 200 or answer.body is None, answer


def _later_answers(context):
    """Return the answers to requests that were sent after the loss of power."""
    sent_from = context.cut_at + IN_FLIGHT_MARGIN_S
    return [answer for answer in context.answers if answer.began_at >= sent_from]


@then(
    "later ones get a whole answer, a refused connection, or a true refusal within "
    "their time"
)
def step_later(context):
    executed_ids = context.platform.executed_ids
    answers = _later_answers(context)
    assert any(answer.status == 503 for answer in answers)
    for answer in answers:
        assert answer.took_s < TIME_BUDGET_S, answer
        if answer.status == 503:
            assert answer.body is not None, answer
            assert "Retry-After" in answer.headers, answer
            assert answer.attempt_id not in executed_ids, answer
        else:
            assert answer.is_served or answer.is_refused, answer


@then("each refusal came within {limit_s:f} s")
def step_at_once(context, limit_s):
    refused = [answer for answer in _later_answers(context) if answer.status == 503]
    slow = [answer for answer in refused if answer.took_s > limit_s]
    assert not slow, (len(slow), len(refused), slow[0])


@then("everything is served again within 20 s")
def step_served_again(context):
    assert context.serving_after_s is not None
