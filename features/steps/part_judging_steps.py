"""Steps for decisions on the parts of prompts."""

import random
from unittest import mock

from behave import given, then, when

from cowslipcourse.quarantine import StoredExit
from cowslipcourse.quarantine.part_evidence import CONVICTION_PROBABILITY, MAX_EXITS
from cowslipcourse.quarantine.part_weighing import part_probabilities
from cowslipcourse.quarantine_runtime import weight_log
from features.support.part_judging import Judge, part, words
from features.support.weighing_oracle import oracle_probabilities, random_clusters

READ_AT = 100.0
MAX_DIFFERENCE = 0.05
"""Largest difference from the oracle, which leaves out no set of causes."""
MIN_ORACLE_PROBABILITY = 0.98
"""Least probability by the oracle of a part that is convicted."""
RARE_PARTS = 60
SKEW = 0.5
ANSWERS_PER_S = 15.0
"""Whole answers that are begun before and while targets exit."""
HISTORY_S = 10.0
RETRY_EXIT_S = 0.06


@given("requests in flight, of which these fractions have these parts: {fractions}")
def step_fractions(context, fractions):
    common = {name: float(fraction) for name, fraction in words(fractions)}
    context.judge = Judge(common)


@given("these exits: {exits}")
def step_exits(context, exits):
    """Each is a time, a target and its requests: ``r1:begun:A+B``, ``…:retry``."""
    for at, target, *runs in words(exits):
        described = [run.split(":") for run in runs]
        context.judge.add_exit(
            float(at),
            target,
            [
                (request, stage, names.split("+"))
                for request, stage, names, *_ in described
            ],
            {request for request, _, _, *flags in described if flags == ["retry"]},
        )


@given("requests with these parts are begun and answered: {answers}")
def step_answers(context, answers):
    for begun_at, name in words(answers):
        context.judge.add_answer(float(begun_at), name)


@then("the parts convicted at {at:g} s are {parts}")
def step_convicted(context, at, parts):
    convicted = context.judge.convicted(at)
    assert convicted == {part(name) for (name,) in words(parts)}, context.judge.weigh(
        at
    )


@when("the evaluator logs what it knows at {at:g} s")
def step_log(context, at):
    with mock.patch.object(weight_log, "log") as log:
        weight_log.WeightLog().log(context.judge.weigh(at))
    context.lines = {call.kwargs["part"]: call.kwargs for call in log.info.mock_calls}


@then(
    "the line of part {name} says: prior {prior:g}, ratios {first} and {second}, other "
    "exits {count:d}"
)
def step_line(context, name, prior, first, second, count):
    line = context.lines[part(name).hex()]
    assert line["prior"] == prior, line
    assert line["ratios"] == f"{first},{second}", line
    assert line["other_exits"] == count, line


@given("four stored exits under a part")
def step_stored(context):
    known = Judge({})
    for number in range(4):
        known.add_exit(10.0 * number, f"t{number}", [(f"r{number}", "begun", ["A"])])
    context.judge = Judge({})
    stored = known.evidence.exits_to_store({part("A")}, 1, READ_AT)
    assert all(isinstance(each, StoredExit) for each in stored)
    for each in stored:
        context.judge.evidence.add_stored(each, READ_AT)


@then("the part is not convicted {seconds:d} s after they were read")
def step_not_convicted(context, seconds):
    assert not context.judge.convicted(READ_AT + seconds)


@when("a target exits under a request with the part")
def step_new_exit(context):
    context.judge.add_exit(READ_AT + 9.0, "t9", [("r9", "begun", ["A"])])


@then("the part is convicted")
def step_convicted_later(context):
    assert context.judge.convicted(READ_AT + 10.0) == {part("A")}


@when("{count:d} targets exit under requests with different parts")
def step_many_exits(context, count):
    context.judge, context.exit_count = Judge({}), count
    for number in range(count):
        runs = [(f"r{number}", "begun", [f"p{number}", "q"])]
        context.judge.add_exit(float(number) / 100, f"t{number}", runs)


@then("no more than {count:d} exits are kept, the latest ones")
def step_bounded(context, count):
    evidence = context.judge.evidence
    assert len(evidence) == count == MAX_EXITS
    assert evidence.has_part(part(f"p{context.exit_count - 1}"))
    assert not evidence.has_part(part("p0"))


@then("{count:d} random series of exits are weighed as by an oracle")
def step_oracle(context, count):
    for seed in range(count):
        clusters, priors = random_clusters(seed)
        expected = oracle_probabilities(clusters, priors)
        for each, probability in part_probabilities(clusters, priors).items():
            difference = abs(probability - expected[each])
            details = seed, probability, expected[each]
            assert difference < MAX_DIFFERENCE, details
            if probability >= CONVICTION_PROBABILITY:
                assert expected[each] >= MIN_ORACLE_PROBABILITY, details


def _draw_parts(rng, weights):
    place = rng.choices(range(RARE_PARTS), weights)[0]
    return ["A", f"p{place}"]


def _add_answers(judge, rng, weights, since, until):
    for _ in range(round(ANSWERS_PER_S * (until - since))):
        begun_at = rng.uniform(since, until)
        for name in _draw_parts(rng, weights):
            judge.add_answer(begun_at, name)


def _random_series(rng, count, interval_s, is_one_loss, bad_part, has_retries=False):
    """Return the judge of random exits of targets with four requests each.

    :param has_retries: whether each second exit is of a target that a request of the
        first one was sent to again.
    :param bad_part: name of the part of one request at each exit, or ``None``.
    """
    weights = [(n + 1) ** -SKEW for n in range(RARE_PARTS)]
    total = sum(weights)
    shares = {f"p{n}": weight / total for n, weight in enumerate(weights)}
    judge = Judge({"A": 1.0} | shares)
    at, retried = 0.0, None
    _add_answers(judge, rng, weights, -HISTORY_S, at)
    for number in range(count):
        since = at
        is_second = has_retries and number % 2 == 1
        if is_second:
            at += RETRY_EXIT_S
        else:
            at += 0.002 if is_one_loss else rng.expovariate(1 / interval_s)
        _add_answers(judge, rng, weights, since, at)
        runs = [
            (f"r{number}-{place}", "writing", _draw_parts(rng, weights))
            for place in range(4)
        ]
        if bad_part is not None:
            runs[0] = (f"r{number}-0", "waiting", ["A", bad_part])
        if is_second:
            runs[0] = retried
        judge.add_exit(at, f"t{number}", runs, {retried[0]} if is_second else ())
        retried = runs[0]
    return judge, at


@then(
    "of {count:d} series of {exits:d} exits {pattern}, none of them by a part, fewer "
    "than 1 in {one_in:d} convicts one"
)
def step_false_convictions(context, count, exits, pattern, one_in):
    is_one_loss = pattern == "at once"
    has_retries = "under a retry" in pattern
    interval_s = 1.0 if is_one_loss else float(pattern.split()[1])
    convictions = 0
    for seed in range(count):
        rng = random.Random(f"series-{pattern}-{seed}")
        judge, end_at = _random_series(
            rng, exits, interval_s, is_one_loss, None, has_retries
        )
        convictions += bool(judge.convicted(end_at + 1.0))
    assert convictions < count / one_in, convictions


@then("a part at all exits is convicted after {exits:d} of them in {count:d} series")
def step_true_convictions(context, exits, count):
    missed = 0
    for seed in range(count):
        rng = random.Random(f"caused-{seed}")
        judge, end_at = _random_series(rng, exits, 0.7, False, "bad")
        convicted = judge.convicted(end_at + 1.0)
        assert convicted <= {part("bad")}, seed
        missed += not convicted
    assert missed <= count / 100, missed
