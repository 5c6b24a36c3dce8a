"""Targets that a request may be sent to, and what the choice among them rests on."""

from typing import NamedTuple, Protocol

__all__ = ["Candidate", "CandidateCost", "RequestSize"]


class Candidate(NamedTuple):
    """A target that a request may be sent to.

    :param entry: :class:`~cowslipcourse.ports.TargetEntry`
    :param in_flight: requests of all daemons in flight at the target.
    :param slots: requests that the target runs concurrently.
    """

    entry: object
    in_flight: int
    slots: int


class RequestSize(NamedTuple):
    """Size of a model request, as its caller states it; 0 where it states none.

    :param prompt_tokens: tokens of the prompt.
    :param max_answer_tokens: most tokens of the answer.
    """

    prompt_tokens: int = 0
    max_answer_tokens: int = 0


class CandidateCost(Protocol):
    """Cost of sending a request to a candidate; the cheapest one is chosen."""

    def cost(self, candidate, size, now):
        """Return a number that can be compared among the candidates of a request.

        :param candidate: :class:`Candidate`
        :param size: :class:`RequestSize`
        :param now: loop time.
        """

    def fits(self, candidate, size):
        """Whether a candidate has room in its memory for a request.

        :param candidate: :class:`Candidate`
        :param size: :class:`RequestSize`
        """

    def is_slow(self, candidate, now):
        """Whether a candidate is so slow that others with free slots are preferred.

        :param candidate: :class:`Candidate`
        :param now: loop time.
        """
