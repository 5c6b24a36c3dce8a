"""Steps for the completeness of answers."""

from behave import then, when
from hypothesis import given as given_values
from hypothesis import settings
from hypothesis import strategies as st

from cowslipcourse.emulator.clock import run_in_virtual_time
from cowslipcourse.requests import StreamRelay
from cowslipcourse.requests.relay import END_DATA
from features.support.group_runs import AnswerFaultInjector, fixed_secrets, group_run
from features.support.group_variants import VARIANTS

EXPECTED_EVENTS = [f"data: token {i}".encode() for i in range(6)] + [END_DATA]
RELAY_EXAMPLES = 3000


def deterministic_run(seed):
    """Return one run with invalid engine answers, which depends on the seed alone."""
    with fixed_secrets(seed):
        return run_in_virtual_time(group_run(seed, injector_type=AnswerFaultInjector))


@when("{number:d} random answer runs are made from seed {first:d}")
def step_random_runs(context, number, first):
    context.runs = [deterministic_run(seed) for seed in range(first, first + number)]


@when("answer runs are made with {variant} at seeds {seeds}")
def step_variant_runs(context, variant, seeds):
    context.runs = []
    for seed in seeds.split(","):
        with VARIANTS[variant]():
            context.runs.append(deterministic_run(int(seed)))


@st.composite
def generated_attempts(draw):
    """Return attempts as ``(id, events)``; ids and offsets of events may be wrong."""
    attempts = []
    for number in range(draw(st.integers(1, 4))):
        start = draw(st.integers(0, len(EXPECTED_EVENTS)))
        events = []
        for offset in range(start, draw(st.integers(start, len(EXPECTED_EVENTS)))):
            owner = draw(st.sampled_from([str(number)] * 8 + ["other"]))
            shift = draw(st.sampled_from([0] * 8 + [1, -1, 2]))
            events.append(
                f"id: {owner}:{offset + shift}\n".encode() + EXPECTED_EVENTS[offset]
            )
        attempts.append((str(number), events))
    return attempts


def _has_true_offset(owner, event):
    """Whether an event of an attempt has the offset of its content.

    Events of another attempt count as true, as the relay drops them.
    """
    id_line, _, data = event.partition(b"\n")
    event_owner, _, offset = id_line.removeprefix(b"id: ").partition(b":")
    index = int(offset)
    if event_owner != owner.encode():
        return True
    return 0 <= index < len(EXPECTED_EVENTS) and EXPECTED_EVENTS[index] == data


@then("no sequence of events makes the relay pass on anything else")
def step_relay(context):
    @settings(
        max_examples=RELAY_EXAMPLES, derandomize=True, deadline=None, database=None
    )
    @given_values(generated_attempts())
    def check_relay(attempts):
        relay, relayed = StreamRelay(), b""
        for attempt_id, events in attempts:
            # Wrong offsets under the right attempt id cannot be detected.
            events = [event for event in events if _has_true_offset(attempt_id, event)]
            relayed += relay.filter_events(attempt_id, events)
        tokens = relayed.split(b"\n\n")[:-1]
        assert tokens == EXPECTED_EVENTS[: len(tokens)]
        if relay.complete:
            assert len(tokens) == len(EXPECTED_EVENTS) - 1

    check_relay()
