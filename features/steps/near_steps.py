"""Steps over groups that are near and groups that are not."""

import random
from collections import deque

from behave import given, then, when

from cowslipcourse.entry.choosing import choose_group
from cowslipcourse.entry.fleet import Place
from cowslipcourse.ports import TargetEntry

SLOTS = 13
DATA_CENTRES = ("north", "south", "west")


def _place(name, data_centre, in_flight):
    entry = TargetEntry(name, "llm", "10.0.0.1:1", data_centre, SLOTS)
    return Place(entry, in_flight, SLOTS)


@given("a near group with {near:d} requests and a far one with {far:d}")
def step_two(context, near, far):
    context.places = [_place("n", "north", near), _place("f", "south", far)]


@then("the {which} one is chosen")
def step_chosen(context, which):
    rng = random.Random(1)
    chosen = {
        choose_group(context.places, set(), "north", rng).entry.id for _ in range(50)
    }
    expected = {"near": {"n"}, "far": {"f"}, "either": {"n", "f"}}[which]
    assert chosen == expected, chosen


@given(
    "{number:d} groups in each of 3 data centres, daemons in each, and {streams:d} "
    "streams at a time"
)
def step_groups(context, number, streams):
    context.groups = [
        (f"{data_centre}-{each}", data_centre)
        for data_centre in DATA_CENTRES
        for each in range(number)
    ]
    context.streams = streams


def _play(context, requests, prefers_near):
    """Return how many stayed near, and the most that one group had."""
    rng = random.Random(7)
    counts = dict.fromkeys((name for name, _ in context.groups), 0)
    running, near, fullest = deque(), 0, 0
    for _ in range(requests):
        if len(running) >= context.streams:
            counts[running.popleft()] -= 1
        own = rng.choice(DATA_CENTRES)
        places = [_place(name, where, counts[name]) for name, where in context.groups]
        asked = own if prefers_near else "elsewhere"
        chosen = choose_group(places, set(), asked, rng).entry
        counts[chosen.id] += 1
        running.append(chosen.id)
        near += chosen.data_centre == own
        fullest = max(fullest, max(counts.values()))
    return near, fullest


@when("{requests:d} requests come, by near groups and without")
def step_play(context, requests):
    context.near = _play(context, requests, True)
    context.without = _play(context, requests, False)


@then(
    "near groups take at least {factor:f} times as many, and the fullest group is no "
    "fuller by {more:d}"
)
def step_compare(context, factor, more):
    found = context.near, context.without
    assert context.near[0] >= factor * context.without[0], found
    assert context.near[1] < context.without[1] + more, found
