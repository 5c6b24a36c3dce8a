"""Steps for the choice of relays, without a network."""

import collections
import random

from behave import given, then, when

from cowslipcourse.peer_protocol import Member
from cowslipcourse.reachability import RelayChoice


def _member(number, data_centre_count):
    return Member(
        f"a{number}",
        1,
        1,
        f"10.0.{number // 250}.{number % 250}:1",
        f"10.0.{number // 250}.{number % 250}:2",
        f"n{number % data_centre_count}",
        True,
        1,
    )


def _lost(members, what):
    if what == "one daemon":
        return members[:1]
    if what == "one data centre":
        return [m for m in members if m.data_centre == "n0"]
    if what == "five of eight":
        return [m for n, m in enumerate(members) if n % 8 < 5]
    assert what == "all", what
    return members


@given("{daemons:d} daemons in {data_centres:d} data centres, without links: {what}")
def step_daemons(context, daemons, data_centres, what):
    context.members = [_member(number, data_centres) for number in range(daemons)]
    context.lost = _lost(context.members, what)


def _relay(choice, member, context, now):
    """Relay one request; return the relay, or ``None``, and how many were asked."""
    others = [each for each in context.members if each is not member]
    tried = set()
    while (chosen := choice.choose(others, tried, now)) is not None:
        tried.add(chosen.name)
        if chosen.name not in context.lost_names:
            choice.record_success(chosen.name, now)
            return chosen, len(tried)
        choice.record_failure(chosen.name, now)
    return None, len(tried)


@when("each of those relays {rate:d} requests per s for {duration_s:d} s")
def step_relay(context, rate, duration_s):
    context.lost_names = {member.name for member in context.lost}
    context.relayed = collections.Counter()
    context.asked = []
    context.stayed = []
    for member in context.lost:
        choice = RelayChoice(member.data_centre, random.Random(member.name))
        for number in range(rate * duration_s):
            relay, asked = _relay(choice, member, context, number / rate)
            context.asked.append(asked)
            context.relayed[relay and relay.name] += 1
            context.stayed.append(
                relay is not None and relay.data_centre == member.data_centre
            )


@then(
    "at least {share:g} of the requests are relayed, and {most:g} daemons at most are "
    "asked for one on average"
)
def step_relayed(context, share, most):
    total = len(context.asked)
    assert total - context.relayed[None] >= share * total, context.relayed[None]
    mean = sum(context.asked) / total
    assert mean <= most, mean


@then(
    "no daemon relays more than twice the mean of those with links and the requests of "
    "one daemon"
)
def step_spread(context):
    relays = len(context.members) - len(context.lost)
    counts = [n for name, n in context.relayed.items() if name is not None]
    of_one_daemon = len(context.asked) / len(context.lost)
    assert max(counts) <= 2 * sum(counts) / relays + of_one_daemon, (counts, relays)


@then("all are relayed in the data centre")
def step_stay(context):
    assert all(context.stayed)


@then("none is relayed, and {most:d} daemons at most are asked for one")
def step_none(context, most):
    assert set(context.relayed) == {None}
    assert max(context.asked) <= most
