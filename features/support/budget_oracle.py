"""Check repeats against the budget of all daemons, from arrivals alone."""

from bisect import bisect_left
from typing import NamedTuple

__all__ = ["Excess", "largest_use", "worst_window"]


class Excess(NamedTuple):
    """The window that is the furthest beyond the budget, or the closest to it.

    :param begins_at: time at which it begins, in seconds.
    :param repeats: repeats that arrived within it.
    :param allowed: repeats that are allowed within it.
    """

    begins_at: float
    repeats: int
    allowed: float

    @property
    def is_violation(self):
        """Whether more repeats arrived than are allowed."""
        return self.repeats > self.allowed


def worst_window(settings, requests, repeats):
    """Return the :class:`Excess` of the window with the most repeats beyond its budget.

    Of the requests, those of the window, of the one before it, or of the one half a
    window before it count, whichever are most.

    :param settings: :class:`~cowslipcourse.entry.settings.RetrySettings`
    :param requests: sorted times of requests, in seconds.
    :param repeats: sorted times of arrivals beyond the first of their request.
    """
    windows = _windows(settings, requests, repeats)
    return max(windows, key=lambda window: window.repeats - window.allowed)


def largest_use(settings, requests, repeats):
    """Return the largest fraction of its budget that a window uses; see above."""
    windows = _windows(settings, requests, repeats)
    return max((window.repeats / window.allowed for window in windows), default=0.0)


def _windows(settings, requests, repeats):
    """Return the windows that begin with a repeat."""
    return [_window(settings, requests, repeats, begins_at) for begins_at in repeats]


def _window(settings, requests, repeats, begins_at):
    length_s = settings.window_s
    request_count = max(
        _count(requests, begins_at - offset_s, length_s)
        for offset_s in (0.0, length_s / 2, length_s)
    )
    allowed = settings.ratio * request_count + settings.slack
    return Excess(begins_at, _count(repeats, begins_at, length_s), allowed)


def _count(times, begins_at, length_s):
    return bisect_left(times, begins_at + length_s) - bisect_left(times, begins_at)
