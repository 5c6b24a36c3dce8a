"""Expected time of a request at a target, as the cost of sending it there."""

import math
from typing import NamedTuple

__all__ = ["ExpectedTime", "ExpectedTimes", "expected_times"]

DISTANCE_COST_S = 0.002
"""Cost of a target in another data centre: the way there and the bytes."""
COLD_FACTOR = 2.0
"""Factor on the times of a target that has just started."""
UNDECLARED_ANSWER_S = 1.0
"""Time of an answer that nothing is declared of; only comparisons rest on it."""


class ExpectedTimes(NamedTuple):
    """Expected times of a request at a target of normal speed.

    :param first_event_s: seconds until the first event, or the whole answer if there
        are no events.
    :param event_s: seconds between two events.
    :param answer_s: seconds until the end of the answer.
    :param is_declared: whether they rest on declared times.
    """

    first_event_s: float
    event_s: float
    answer_s: float
    is_declared: bool


def expected_times(spec, model_name, size, in_flight, slots):
    """Return the :class:`ExpectedTimes` of a request.

    :param spec: :class:`~cowslipcourse.routes.ServiceSpec`
    :param model_name: name of the model, or empty.
    :param size: :class:`~cowslipcourse.load_balancing.RequestSize`
    :param in_flight: requests in flight at the target without this one.
    :param slots: requests that the target runs concurrently.
    """
    slots = max(slots, 1)
    running = min(in_flight + 1, slots)
    queued = max(0, in_flight + 1 - slots)
    model = spec.model(model_name)
    if model is None:
        answer_s = UNDECLARED_ANSWER_S * (1 + queued / slots)
        return ExpectedTimes(answer_s, UNDECLARED_ANSWER_S, answer_s, False)
    times = spec.times
    step_s = (times.step_s + times.step_per_request_s * running) * model.pace
    usual_s = _run_s(times, model.pace, step_s, *_usual_tokens(spec))
    prompt_tokens, answer_tokens = _tokens(spec, size)
    first_s = _run_s(times, model.pace, step_s, prompt_tokens, 1)
    wait_s = queued * usual_s / slots
    return ExpectedTimes(
        first_event_s=wait_s + first_s,
        event_s=times.steps_per_event * step_s,
        answer_s=wait_s + first_s + max(0, answer_tokens - 1) * step_s,
        is_declared=True,
    )


def _run_s(times, pace, step_s, prompt_tokens, answer_tokens):
    """Return the seconds to read a prompt and to generate tokens."""
    # Between two pieces of the prompt the other requests get a step.
    pieces = math.ceil(prompt_tokens / times.chunk_tokens)
    read_s = prompt_tokens / times.prefill_tokens_per_s * pace
    return read_s + max(0, pieces - 1) * step_s + answer_tokens * step_s


def _usual_tokens(spec):
    return spec.usual_prompt_tokens, max(spec.usual_answer_tokens, 1)


def _tokens(spec, size):
    """Return the tokens of prompt and answer, the usual ones where none are stated."""
    usual_prompt_tokens, usual_answer_tokens = _usual_tokens(spec)
    return (
        size.prompt_tokens or usual_prompt_tokens,
        size.max_answer_tokens or usual_answer_tokens,
    )


class ExpectedTime:
    """Cost of a candidate: the expected seconds until the end of the answer.

    Implements :class:`~cowslipcourse.load_balancing.CandidateCost`.

    :param speeds: :class:`~cowslipcourse.load_balancing.target_speeds.TargetSpeeds`
    :param stated_loads:
        :class:`~cowslipcourse.load_balancing.stated_loads.StatedLoads`
    :param service_spec: function that returns the
        :class:`~cowslipcourse.routes.ServiceSpec` of a service.
    :param data_centre: the daemon's own.
    """

    def __init__(self, speeds, stated_loads, service_spec, data_centre):
        self._speeds = speeds
        self._stated_loads = stated_loads
        self._service_spec = service_spec
        self._data_centre = data_centre

    def cost(self, candidate, size, now):
        """See :class:`~cowslipcourse.load_balancing.CandidateCost`."""
        entry = candidate.entry
        factor = self._speeds.factor(entry, now)
        if entry.cold_left_s > 0:
            factor = max(factor, COLD_FACTOR)
        times = self.times(candidate, size, now)
        distance_s = DISTANCE_COST_S * (entry.data_centre != self._data_centre)
        return factor * times.answer_s + distance_s

    def times(self, candidate, size, now):
        """Return the :class:`ExpectedTimes` at a candidate if its speed is normal.

        :param candidate: :class:`~cowslipcourse.load_balancing.Candidate`
        :param size: :class:`~cowslipcourse.load_balancing.RequestSize`
        :param now: loop time.
        """
        entry = candidate.entry
        in_flight = self._stated_loads.corrected(entry, candidate.in_flight, now)
        spec = self._service_spec(entry.service)
        model_name = "" if entry.membership is None else entry.membership.model
        return expected_times(spec, model_name, size, in_flight, candidate.slots)

    def fits(self, candidate, size):
        """Whether a request fits into a target beside what this daemon has there.

        :param candidate: :class:`~cowslipcourse.load_balancing.Candidate`
        :param size: :class:`~cowslipcourse.load_balancing.RequestSize`
        """
        memory_tokens = self._service_spec(candidate.entry.service).memory_tokens
        if not memory_tokens:
            return True
        used_tokens = self._speeds.tokens_in_flight(candidate.entry)
        return used_tokens + sum(size) <= memory_tokens

    def is_slow(self, candidate, now):
        """See :class:`~cowslipcourse.load_balancing.CandidateCost`."""
        return self._speeds.is_slow(candidate.entry, now)
