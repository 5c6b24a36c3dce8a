"""Steps over the emulator and its experiments."""

import logging
import random
import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path

from behave import given, then, when

from cowslipcourse.emulator.main import run_experiment
from cowslipcourse.emulator.report import compare
from cowslipcourse.emulator.site_file import ExperimentSettings
from features.support.emulated_site import SITE

WRONG = {
    "a kind of an unknown model": SITE.replace('model = "small"', 'model = "none"'),
    "an unknown policy": 'policies = ["luck"]\n' + SITE,
    "an unknown key": 'hurry = "yes"\n' + SITE,
    "a negative rate": SITE.replace("per_s = 10", "per_s = -10"),
}


def _settings(text, **more):
    tables = tomllib.loads('name = "test"\n' + text)
    return ExperimentSettings.model_validate(tables | more)


def _play(context, seconds, seeds, policy="as-is"):
    settings = _settings(SITE, seconds=seconds, faults=context.faults)
    logging.disable(logging.CRITICAL)
    try:
        return list(run_experiment(settings, (policy,), seeds))
    finally:
        logging.disable(logging.NOTSET)


@given("an emulated site without faults")
def step_calm(context):
    context.faults = ()


@given("an emulated site that loses {count:d} engines every {every:d} s")
def step_losses(context, count, every):
    context.faults = (_series("lose", count, every),)


@given("an emulated site on which {count:d} engines start again every {every:d} s")
def step_restarts(context, count, every):
    context.faults = (_series("restart", count, every),)


def _series(kind, count, every):
    return {"kind": kind, "at_s": 1, "every_s": every, "until_s": 60, "count": count}


@when("it is played for {seconds:d} s with seed {seed:d}")
def step_play(context, seconds, seed):
    context.runs = _play(context, seconds, [seed])


@when("it is played for {seconds:d} s with seed {seed:d}, twice")
def step_twice(context, seconds, seed):
    context.runs = [_play(context, seconds, [s])[0] for s in (seed, seed, seed + 1)]


@when("it is played for {seconds:d} s with seeds {first:d} to {last:d}, as it is")
def step_seeds(context, seconds, first, last):
    context.runs = _play(context, seconds, range(first, last + 1))


@when(
    "it is played for {seconds:d} s with seeds {first:d} to {last:d}, as it is and "
    "{policy}"
)
def step_policies(context, seconds, first, last, policy):
    seeds = range(first, last + 1)
    context.runs = _play(context, seconds, seeds)
    context.without = _play(context, seconds, seeds, policy)
    context.faults = ()
    context.calm = _play(context, seconds, seeds)


@then("at least {share:f} of the requests are answered on time and none fails")
def step_on_time(context, share):
    (run,) = context.runs
    assert run["on_time"] >= share and not run["failed"], run


@then("at least {share:f} of the requests are answered")
def step_answered(context, share):
    assert all(r["on_time"] + r["late"] >= share for r in context.runs), context.runs


@then("the oracle of the groups saw nothing")
def step_oracle(context):
    assert not any(run["violations"] for run in context.runs), context.runs


@then("both plays gave the same figures, and another seed gives others")
def step_same(context):
    first, again, other = context.runs
    assert first == again, (first, again)
    assert first["credit"] != other["credit"]


@then("losses cost credit, and without the mechanism they cost more")
def step_cost(context):
    (cost,) = compare(context.calm, context.runs, ("credit",))
    (more,) = compare(context.runs, context.without, ("credit",))
    assert cost.mean < -0.005, cost
    assert more.mean < -0.005, more


@given(
    "results of two policies whose credit differs by {difference:f} and a little luck"
)
def step_results(context, difference):
    rng = random.Random(5)
    context.difference = difference
    first = [{"seed": seed, "credit": rng.uniform(0.6, 0.9)} for seed in range(12)]
    second = [
        {**run, "credit": run["credit"] + difference + rng.gauss(0, 0.01)}
        for run in first
    ]
    (context.found,) = compare(first, second, ("credit",))


@then("the difference is {difference:f} within its interval, which lies above 0")
def step_difference(context, difference):
    found = context.found
    assert found.pairs == 12 and 0 < found.low <= found.mean <= found.high, found
    assert found.low <= difference <= found.high, found


@given("an experiment file with {fault}")
def step_wrong_file(context, fault):
    folder = Path(tempfile.mkdtemp(prefix="cowslip-experiment-"))
    context.file = folder / "experiment.toml"
    context.file.write_text('name = "wrong"\n' + WRONG[fault])


def _experiment(*words):
    command = [sys.executable, "-m", "cowslipcourse.emulator.main", *words]
    return subprocess.run(command, capture_output=True, text=True, check=False)


@when("it is run from the command line")
def step_command(context):
    context.done = _experiment("run", str(context.file))


@given("a file of results with a line that is no run")
def step_wrong_results(context):
    folder = Path(tempfile.mkdtemp(prefix="cowslip-experiment-"))
    context.file = folder / "results.jsonl"
    context.file.write_text('{"policy": 7}\n')


@when("it is compared with itself from the command line")
def step_compare_command(context):
    context.done = _experiment("compare", str(context.file), str(context.file))


@then('it ends with exit code {code:d} and says "{words}"')
def step_says(context, code, words):
    said = context.done.stdout + context.done.stderr
    assert context.done.returncode == code, said
    assert words in said, said
