"""Which requests end the targets that run them; pure decisions.

A target runs about ten requests at once, and all of them see it end. What tells the one
that ended it from those beside it:

* it was there at the end of every target that began to run it;
* none of its runs came further than an earlier one did, while those beside it have
  usually passed on events of their streams;
* no target has ever answered it whole, while most of those beside it are answered by
  the next target.

So a request is suspected for each life of a target that ended under it, by weights, and
an answer in full clears it. Three ends at which it had begun and came no further
convict it. One that was only beside other requests would have to meet three ends in its
at most four runs, each in the first 0.1 s after it had begun.
"""

from collections import OrderedDict
from typing import Annotated, NamedTuple

import msgspec

from cowslipcourse.quarantine.fingerprints import FINGERPRINT_BYTES

__all__ = ["CrashReport", "Suspects", "Verdict", "Verdicts", "is_incriminating"]

STALLED_WEIGHT = 2
"""Weight of an end under a run that had begun and came no further."""
NOT_BEGUN_WEIGHT = 1
"""Weight of an end under a run whose answer had not begun: it may have waited in a
queue, or the target may have ended while it read the prompt."""
QUARANTINE_WEIGHT = 6
"""Three ends of the greater weight: callers and other requests lose three targets to a
request for certain, and no more than that."""
STORE_WEIGHT = 4
"""Two such ends: a new start of all daemons must not let it end two more each time."""
SUSPICION_S = 600.0
"""Time for which an end is held against a request: one that comes back hours later
meets other software, and the memory is bounded."""
MAX_SUSPECTS = 4_096
"""About 2 MB; the one whose last end is the longest ago is dropped first. On the
largest site the loss of half of 1,200 engines suspects some 16 requests a daemon."""
MAX_ANSWERED = 2_048
"""Requests that are remembered as answered, about 300 KB: those of two minutes."""
MAX_VERDICTS = 512
"""25 KB as a row of the store; the one that ends first is dropped first. Each has cost
three targets, so more than that cannot be kept up for long."""
QUARANTINE_S = 3_600.0
"""Time until a quarantined request is tried again: software is replaced in hours."""
QUARANTINE_GROWTH = 4
"""Factor on the time after each trial that ended a target: three trials in a day."""


_Count = Annotated[int, msgspec.Meta(ge=0)]
_Fingerprint = Annotated[
    bytes, msgspec.Meta(min_length=FINGERPRINT_BYTES, max_length=FINGERPRINT_BYTES)
]


class CrashReport(NamedTuple):
    """A target ended under a request.

    :param fingerprint: of the request.
    :param target: id of the target.
    :param incarnation: its life that ended.
    :param has_begun: whether the request had begun to run, as far as can be told.
    :param relayed_events: events of a stream that this run passed on.
    :param last_event_id: number of the last event that the caller has; 0 for none.
    """

    fingerprint: _Fingerprint
    target: str
    incarnation: _Count
    has_begun: bool
    relayed_events: _Count
    last_event_id: _Count


def is_incriminating(report):
    """Whether a report is worth sending: a run that came further says little."""
    return not report.relayed_events


class _Suspect:
    """What is held against a request."""

    def __init__(self):
        self.weights = {}
        self.reports = {}
        self.highest_event_id = 0
        self.last_at = 0.0

    def add_report(self, report, now):
        weight = self._weight(report)
        life = report.target, report.incarnation
        self.weights[life] = max(weight, self.weights.get(life, 0))
        self.reports[life] = report
        self.highest_event_id = max(self.highest_event_id, report.last_event_id)
        self.last_at = now

    def _weight(self, report):
        if report.relayed_events and report.last_event_id > self.highest_event_id:
            return 0
        return STALLED_WEIGHT if report.has_begun else NOT_BEGUN_WEIGHT

    @property
    def weight(self):
        return sum(self.weights.values())


class Suspects:
    """The ends that requests have met, and the requests that were answered."""

    def __init__(self):
        self._suspects = OrderedDict()
        self._answered = OrderedDict()

    def __len__(self):
        return len(self._suspects)

    def add_report(self, report, now):
        """Take a report; return whether the request is convicted by now.

        :param report: :class:`CrashReport`
        :param now: loop time.
        """
        fingerprint = report.fingerprint
        if self.was_answered(fingerprint, now):
            return False
        self._expire(now)
        suspect = self._suspects.setdefault(fingerprint, _Suspect())
        suspect.add_report(report, now)
        self._suspects.move_to_end(fingerprint)
        if len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        return suspect.weight >= QUARANTINE_WEIGHT

    def _expire(self, now):
        while self._suspects:
            fingerprint, oldest = next(iter(self._suspects.items()))
            if now - oldest.last_at < SUSPICION_S:
                return
            del self._suspects[fingerprint]

    def ended_incarnations(self, fingerprint):
        """Return the ``(target, incarnation)`` list that ended under a request."""
        suspect = self._suspects.get(fingerprint)
        return [] if suspect is None else list(suspect.weights)

    def reports_to_store(self, fingerprint):
        """Return the reports against a request if it may soon be convicted.

        One end is not kept: most that have met one are answered by the next target.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.weight < STORE_WEIGHT:
            return []
        return list(suspect.reports.values())

    def record_answered(self, fingerprint, now, is_local=True):
        """Clear a request that a target answered whole; return if it was suspected.

        :param is_local: whether this daemon passed the answer on, or another one.
        """
        self._answered[fingerprint] = now, is_local
        self._answered.move_to_end(fingerprint)
        if len(self._answered) > MAX_ANSWERED:
            self._answered.popitem(last=False)
        return self._suspects.pop(fingerprint, None) is not None

    def was_answered(self, fingerprint, now):
        """Whether a target answered a request whole not long ago."""
        known = self._answered.get(fingerprint)
        return known is not None and now - known[0] < SUSPICION_S

    def was_answered_here(self, fingerprint):
        """Whether this daemon passed the answer to a request on."""
        known = self._answered.get(fingerprint)
        return known is not None and known[1]

    def drop(self, fingerprint):
        """Forget what is held against a request."""
        self._suspects.pop(fingerprint, None)


class Verdict(NamedTuple):
    """A request that is not sent to targets.

    :param fingerprint: of the request.
    :param until: time from which on it may be tried once; of whichever clock is used.
    :param trials: trials that were begun since it was convicted.
    """

    fingerprint: _Fingerprint
    until: float
    trials: _Count = 0

    def after_trial_began(self, now):
        """Return the verdict that holds from the begin of a trial on."""
        trials = self.trials + 1
        return Verdict(
            self.fingerprint, now + QUARANTINE_S * QUARANTINE_GROWTH**trials, trials
        )


class Verdicts:
    """The requests that are not sent to targets."""

    def __init__(self):
        self._verdicts = {}

    def __len__(self):
        return len(self._verdicts)

    def __iter__(self):
        return iter(list(self._verdicts.values()))

    def get(self, fingerprint):
        """Return the :class:`Verdict` on a request, or ``None``."""
        return self._verdicts.get(fingerprint)

    def add(self, verdict):
        """Take a verdict; return whether it was news.

        What is known already is not prolonged by hearing of it again.
        """
        known = self._verdicts.get(verdict.fingerprint)
        if known is not None and known.trials >= verdict.trials:
            return False
        self._verdicts[verdict.fingerprint] = verdict
        if len(self._verdicts) > MAX_VERDICTS:
            del self._verdicts[min(self, key=lambda v: v.until).fingerprint]
        return True

    def drop(self, fingerprint):
        """Drop the verdict on a request; return whether there was one."""
        return self._verdicts.pop(fingerprint, None) is not None
