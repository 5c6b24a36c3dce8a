"""Steps over streams of events."""

import itertools

from behave import given, then, when
from hypothesis import given as given_values
from hypothesis import settings
from hypothesis import strategies as st

from cowslipcourse.streams import Event, EventSplitter, StreamPosition

EXAMPLES = 2000
TRUTH = [f"id: {number}\ndata: t{number}\n\n".encode() for number in range(1, 9)]


@st.composite
def runs(draw):
    """Return runs of targets: pieces of the truth from some event on, cut anywhere."""
    made = []
    for _ in range(draw(st.integers(1, 4))):
        first = draw(st.integers(0, len(TRUTH)))
        content = b"".join(TRUTH[first:])
        content = content[: draw(st.integers(0, len(content)))]
        cuts = sorted(draw(st.lists(st.integers(0, len(content)), max_size=6)))
        bounds = [0, *cuts, len(content)]
        pairs = itertools.pairwise(bounds)
        made.append([content[start:end] for start, end in pairs])
    return made


@then(
    "no runs of targets, cut anywhere, make a stream other than a prefix of the truth"
)
def step_prefix(context):
    @settings(max_examples=EXAMPLES, derandomize=True, deadline=None, database=None)
    @given_values(runs())
    def holds(made):
        position, passed = StreamPosition(0), b""
        for pieces in made:
            splitter = EventSplitter()
            for piece in pieces:
                content, fault = position.filter_events(splitter.feed(piece))
                passed += content
                if fault is not None:
                    break
        assert b"".join(TRUTH).startswith(passed)
        assert passed == b"".join(TRUTH[: position.last_event_id])

    holds()


@when("the bytes of an event arrive one by one")
def step_bytes(context):
    splitter = EventSplitter()
    context.events = [splitter.feed(bytes([byte])) for byte in TRUTH[0]]


@then("it is there once, after its last byte")
def step_once(context):
    assert context.events[-1] == [Event(1, TRUTH[0])]
    assert not any(context.events[:-1])


@given("a caller that has the events up to {number:d}")
def step_position(context, number):
    context.position = StreamPosition(number)


@when("a target goes on with event {number:d}")
def step_goes_on(context, number):
    context.taken = context.position.filter_events([Event(number, TRUTH[number])])


@then("nothing is passed on and the run is refused")
def step_refused(context):
    content, fault = context.taken
    assert content == b""
    assert fault is not None
