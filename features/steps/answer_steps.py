"""Steps over whole answers."""

from behave import then, when
from hypothesis import given as given_values
from hypothesis import settings
from hypothesis import strategies as st

from cowslipcourse.emulator.clock import run_in_virtual_time
from cowslipcourse.requests import StreamRelay
from cowslipcourse.requests.relay import END_DATA
from features.support.group_runs import AnswerFaultInjector, fixed_secrets, group_run
from features.support.group_variants import VARIANTS

TRUTH = [f"data: token {i}".encode() for i in range(6)] + [END_DATA]
EXAMPLES = 3000


def deterministic_run(seed):
    """Make one run with spoiled answers."""
    with fixed_secrets(seed):
        return run_in_virtual_time(group_run(seed, injector_type=AnswerFaultInjector))


@when("{number:d} answer runs are made from seed {first:d}")
def step_runs(context, number, first):
    context.runs = [deterministic_run(seed) for seed in range(first, first + number)]


@when("answer runs are made with {variant} at seeds {seeds}")
def step_variant(context, variant, seeds):
    context.runs = []
    for seed in seeds.split(","):
        with VARIANTS[variant]():
            context.runs.append(deterministic_run(int(seed)))


@st.composite
def attempts(draw):
    """Return attempts: ids with events that may be spoiled in any way."""
    made = []
    for number in range(draw(st.integers(1, 4))):
        start = draw(st.integers(0, len(TRUTH)))
        events = []
        for offset in range(start, draw(st.integers(start, len(TRUTH)))):
            owner = draw(st.sampled_from([str(number)] * 8 + ["other"]))
            shift = draw(st.sampled_from([0] * 8 + [1, -1, 2]))
            events.append(f"id: {owner}:{offset + shift}\n".encode() + TRUTH[offset])
        made.append((str(number), events))
    return made


def _honest(owner, event):
    """Whether an event says of itself what it is."""
    first, _, data = event.partition(b"\n")
    name, _, offset = first.removeprefix(b"id: ").partition(b":")
    index = int(offset)
    if name != owner.encode():
        return True
    return 0 <= index < len(TRUTH) and TRUTH[index] == data


@then("no sequence of events makes the relay pass on anything else")
def step_relay(context):
    @settings(max_examples=EXAMPLES, derandomize=True, deadline=None, database=None)
    @given_values(attempts())
    def holds(made):
        relay, passed = StreamRelay(), b""
        for attempt_id, events in made:
            # An engine that lies about its offsets cannot be found out.
            events = [event for event in events if _honest(attempt_id, event)]
            passed += relay.filter_events(attempt_id, events)
        tokens = passed.split(b"\n\n")[:-1]
        assert tokens == TRUTH[: len(tokens)]
        if relay.complete:
            assert len(tokens) == len(TRUTH) - 1

    holds()
