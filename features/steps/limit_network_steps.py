"""Steps for rate limits over the links of many daemons."""

import asyncio
import contextlib
import logging
from unittest import mock

from behave import given, then, when

from cowslipcourse.rate_limit_runtime import RateLimiter
from cowslipcourse.rate_limit_runtime.issuing import IssuingDesk
from features.support.daemon_network import NetworkShape
from features.support.limit_network_runs import (
    LimitScenario,
    random_scenario,
    simulate_network,
)


@contextlib.contextmanager
def _logging_disabled():
    logging.disable(logging.CRITICAL)
    try:
        yield
    finally:
        logging.disable(logging.NOTSET)


async def _need_no_permit(limiter, entry):
    return None


def _issue_locally(desk, instance, data_centre):
    """Return the own address in place of the issuer's."""
    return desk._peers.address


def _variant_patches(variant):
    if variant == "daemons ignore limits":
        return (
            mock.patch.object(RateLimiter, "acquire", _need_no_permit),
            mock.patch.object(RateLimiter, "verify", lambda *arguments: None),
        )
    return (
        mock.patch.object(IssuingDesk, "issuer", _issue_locally),
        mock.patch.object(
            IssuingDesk,
            "decide",
            lambda desk, instance, service, data_centre, daemon: desk._issuer.decide(
                instance,
                daemon,
                desk._exchange.limits.get(instance),
                asyncio.get_running_loop().time(),
            ),
        ),
    )


def _simulate(data_centres, daemons, first, last):
    with _logging_disabled():
        return [
            simulate_network(random_scenario(seed, data_centres, daemons), seed)
            for seed in range(first, last + 1)
        ]


@when(
    "random runs of {data_centres:d} data centres of {daemons:d} daemons are made with "
    "seeds {first:d} to {last:d}"
)
def step_random_runs(context, data_centres, daemons, first, last):
    context.runs = _simulate(data_centres, daemons, first, last)


@when(
    "random runs of {data_centres:d} data centres of {daemons:d} daemons, which all "
    "restart {count:d} times, are made with seeds {first:d} to {last:d}"
)
def step_fleet_restarts(context, data_centres, daemons, count, first, last):
    scenarios = {
        seed: random_scenario(seed, data_centres, daemons)._replace(
            fleet_restarts=count
        )
        for seed in range(first, last + 1)
    }
    with _logging_disabled():
        context.runs = [
            simulate_network(scenario, seed) for seed, scenario in scenarios.items()
        ]


@when(
    "random runs of {data_centres:d} data centres of {daemons:d} daemons are made with "
    "seeds {first:d} to {last:d}, but {variant}"
)
def step_variant_runs(context, data_centres, daemons, first, last, variant):
    with contextlib.ExitStack() as stack:
        for patch in _variant_patches(variant):
            stack.enter_context(patch)
        context.runs = _simulate(data_centres, daemons, first, last)


def _highest_excess(runs):
    return max((f.excess for run in runs for f in run.figures), default=0.0)


@then("no target got more than its limit tolerates")
def step_no_excess(context):
    assert any(run.figures for run in context.runs)
    assert _highest_excess(context.runs) <= 1, _highest_excess(context.runs)


@then("some targets got more than their limits tolerate")
def step_excess(context):
    assert _highest_excess(context.runs) > 1, _highest_excess(context.runs)


@then(
    "{delay:d} s after the limits had ended, their targets got at least {fraction:g} "
    "of an even share"
)
def step_recovered(context, delay, fraction):
    fractions = [run.recovered_fraction for run in context.runs]
    known = [each for each in fractions if each is not None]
    assert known, fractions
    mean = sum(known) / len(known)
    assert mean >= fraction, fractions


@then("no daemon sent more than {limit:d} bytes per second for limits")
def step_bytes(context, limit):
    most = max(run.bytes_per_s for run in context.runs)
    assert most <= limit, most


@given(
    "{daemons:d} daemons and {limited:d} targets with a limit of {limit:g} per s among "
    "{targets:d}, with a demand of {demand:g} per s"
)
def step_saturated(context, daemons, limited, limit, targets, demand):
    scenario = LimitScenario(
        NetworkShape(1, daemons),
        targets,
        limited,
        limit,
        demand,
        limited_s=40.0,
    )
    with _logging_disabled():
        context.runs = [simulate_network(scenario, 1)]


@then("each limited target gets at least {fraction:g} of its limit")
def step_used(context, fraction):
    (run,) = context.runs
    used = [f.arrivals / f.limited_s / f.limit_per_s for f in run.figures]
    assert min(used) >= fraction, used
