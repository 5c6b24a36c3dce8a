"""Steps for streams of events."""

import itertools

from behave import given, then, when
from hypothesis import given as given_values
from hypothesis import settings
from hypothesis import strategies as st

from cowslipcourse.streams import Event, EventSplitter, StreamPosition

MAX_EXAMPLES = 2000
REFERENCE_EVENTS = [
    f"id: {number}\ndata: t{number}\n\n".encode() for number in range(1, 9)
]


@st.composite
def draw_runs(draw):
    """Return runs of targets: the chunks of a slice of the reference stream."""
    target_runs = []
    for _ in range(draw(st.integers(1, 4))):
        first = draw(st.integers(0, len(REFERENCE_EVENTS)))
        content = b"".join(REFERENCE_EVENTS[first:])
        content = content[: draw(st.integers(0, len(content)))]
        cuts = sorted(draw(st.lists(st.integers(0, len(content)), max_size=6)))
        bounds = [0, *cuts, len(content)]
        pairs = itertools.pairwise(bounds)
        target_runs.append([content[start:end] for start, end in pairs])
    return target_runs


@then(
    "any runs of targets, cut anywhere, are forwarded as a prefix of the reference "
    "stream"
)
def step_prefix(context):
    @settings(max_examples=MAX_EXAMPLES, derandomize=True, deadline=None, database=None)
    @given_values(draw_runs())
    def check_prefix(target_runs):
        position, forwarded = StreamPosition(0), b""
        for chunks in target_runs:
            splitter = EventSplitter()
            for chunk in chunks:
                content, error = position.filter_events(splitter.feed(chunk))
                forwarded += content
                if error is not None:
                    break
        assert b"".join(REFERENCE_EVENTS).startswith(forwarded)
        assert forwarded == b"".join(REFERENCE_EVENTS[: position.last_event_id])

    check_prefix()


@when("the bytes of an event arrive one by one")
def step_bytes(context):
    splitter = EventSplitter()
    context.events = [splitter.feed(bytes([byte])) for byte in REFERENCE_EVENTS[0]]


@then("it is returned once, after its last byte")
def step_returned_once(context):
    assert context.events[-1] == [Event(1, REFERENCE_EVENTS[0])]
    assert not any(context.events[:-1])


@given("a caller that has the events up to {event_id:d}")
def step_position(context, event_id):
    context.position = StreamPosition(event_id)


@when("a target continues with event {event_id:d}")
def step_continues(context, event_id):
    context.filtered = context.position.filter_events(
        [Event(event_id, REFERENCE_EVENTS[event_id])]
    )


@then("nothing is forwarded and the run is refused")
def step_refused(context):
    content, error = context.filtered
    assert content == b""
    assert error is not None
