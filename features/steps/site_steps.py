"""Steps for a complete site of separate processes."""

import asyncio
import json
from pathlib import Path

from behave import given, then, when

from cowslipcourse.standin.engine import answer_words
from harness import Caller, LocalSite, SiteShape, VmShape
from harness.callers import chat_body

DEMO_CONFIGURATION = Path(__file__).parent.parent.parent / "demo" / "configuration"
CREW_KEY, RAMP_KEY = "key-of-crew-leads", "key-of-ramp-control"
LARGE, SMALL = {"pool": "large"}, {"pool": "small"}


def demo_vms(fenced=True):
    """Return VMs on which the demo configuration forms its four groups."""
    stations, apron = {"site": "stations"}, {"site": "apron"}
    return (
        VmShape("a", 4, "d1", "dc1", fenced=fenced, labels=LARGE | stations),
        VmShape("b", 4, "d2", "dc2", fenced=fenced, labels=LARGE | stations),
        VmShape("r", 2, "d1", "dc1", "service", labels=SMALL | stations),
        VmShape("e", 5, "d3", "dc2", fenced=fenced, labels=LARGE | apron),
        VmShape("t", 1, "d3", "dc2", "service", labels=SMALL | apron),
    )


def start_site(context, shape):
    """Start a site that is stopped at the end of the scenario."""
    context.site = context.resources.enter_context(LocalSite(shape))
    context.edits = []
    return context.site


def whole_answer(body):
    """Return the expected text of the answer to a request."""
    return "".join(answer_words(body))


@given("a site of {gateways:d} gateways and {controllers:d} controllers")
def step_site(context, gateways, controllers):
    data_centres = ("dc1", "dc2", "dc1", "dc2")
    shape = SiteShape(
        gateways=data_centres[:gateways],
        controllers=data_centres[:controllers],
        vms=demo_vms(),
        time={"address_ttl_s": 1.0},
        engine={"token_s": 0.01},
    )
    start_site(context, shape)


@when("the operator applies the demo configuration")
def step_apply_demo(context):
    context.site.cli("apply", str(DEMO_CONFIGURATION))


@given("the demo configuration with {count:d} groups serving")
def step_demo_serving(context, count):
    step_apply_demo(context)
    step_groups_serve(context, count)


@then("{count:d} groups serve")
def step_groups_serve(context, count):
    site = context.site
    context.groups = site.wait_for_groups(count)
    for gateway in site.gateway_names:
        site.wait_for_model(gateway, CREW_KEY, "draft-large")
        site.wait_for_model(gateway, RAMP_KEY, "pushback-large")


@then("every VM belongs to one group at most")
def step_one_group_each(context):
    members = [
        vm for group in context.site.status()["groups"] for vm in group["members"]
    ]
    assert len(members) == len(set(members)), members


@when("a crew lead asks gateway {gateway} for addresses")
def step_ask_addresses(context, gateway):
    context.address_response = context.site.get(gateway, "/v1/addresses")


@then("the first address is that of {gateway}")
def step_first_address(context, gateway):
    assert context.address_response["addresses"][0] == context.site.urls[gateway], (
        context.address_response
    )


async def stream_many(site, count, tokens=24, gateways=None, pause_s=0.0):
    """Stream answers to distinct questions and return ``[(body, answer)]``."""
    gateways = gateways or site.gateway_names
    async with Caller(CREW_KEY) as caller:
        bodies = [chat_body(f"question {i}", max_tokens=tokens) for i in range(count)]
        tasks = []
        for index, body in enumerate(bodies):
            url = site.urls[gateways[index % len(gateways)]]
            tasks.append(asyncio.create_task(caller.chat(url, body)))
            await asyncio.sleep(pause_s)
        return list(zip(bodies, await asyncio.gather(*tasks), strict=True))


@when("{count:d} crew leads stream answers at once")
def step_stream(context, count):
    context.answers = asyncio.run(stream_many(context.site, count))


@then("each gets the whole answer to its own request")
def step_whole_answers(context):
    for body, answer in context.answers:
        assert answer.complete, answer
        assert answer.text == whole_answer(body), answer


@when("a booking is sent once without a key")
def step_book(context):
    async def book():
        async with Caller(CREW_KEY) as caller:
            return await caller.call(
                context.site.urls["g1"], "roster", "book", {"hall": 4}
            )

    context.booking_answer = asyncio.run(book())
    assert context.booking_answer.complete, context.booking_answer


@then("the booking ran {count:d} time")
@then("the booking ran {count:d} times")
def step_booking_runs(context, count):
    booking_bodies = [json.loads(e["body"]) for e in context.site.executions()]
    assert len(booking_bodies) == count, booking_bodies
