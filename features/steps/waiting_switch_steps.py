"""Steps for the setting of the order in which requests wait."""

import random
from types import SimpleNamespace

from behave import given, then
from pydantic import ValidationError

from cowslipcourse.entry.context import DaemonContext
from cowslipcourse.entry.settings import EntrySettings
from cowslipcourse.routes import (
    CallerLimits,
    RequestKind,
    Route,
    RouteTable,
    ServiceSpec,
)

ADDRESS = "127.0.0.1:1"
SETTINGS = {
    "name": "d",
    "data_centre": "x",
    "listen": dict.fromkeys(("front", "directory", "ready", "peer"), ADDRESS),
    "store": {"address": ADDRESS},
}


@given("settings of a daemon with {order} as the order of waiting requests")
def step_settings(context, order):
    admission = {} if order == "none" else {"admission": {"order": order}}
    settings = EntrySettings.model_validate(SETTINGS | admission)
    context.daemon = DaemonContext(
        settings,
        fleet=None,
        attempt_sender=None,
        retry_budget=None,
        silence_detector=None,
        conditions=SimpleNamespace(),
        quarantine=None,
        rng=random.Random(1),
    )


@given("a configuration whose routes have priorities {priorities}")
def step_routes(context, priorities):
    routes = [
        Route(
            name=f"r{number}",
            host="h",
            prefix=f"/{number}/",
            kind=RequestKind.STREAMING,
            services=(("llm", 1.0),),
            timeout_s=1.0,
            objective_s=0.5,
            priority=int(priority),
        )
        for number, priority in enumerate(priorities.split())
    ]
    context.daemon.table = RouteTable(1, routes, [ServiceSpec("llm")], CallerLimits())


@then("requests wait by priority: {answer}")
def step_by_priority(context, answer):
    assert context.daemon.has_priorities("llm") == (answer == "yes")


@then('settings with "{order}" as the order of waiting requests are refused')
def step_refused(context, order):
    try:
        EntrySettings.model_validate(SETTINGS | {"admission": {"order": order}})
    except ValidationError:
        return
    raise AssertionError("accepted")
