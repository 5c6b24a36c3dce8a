"""Decides which requests end the targets that run them, without I/O.

A target runs about ten requests at once, and all of them see it exit. The request that
causes the exit differs from those that only run beside it:

* it was running at the exit of every target that began to run it;
* none of its runs got further than an earlier one did, while those beside it have
  usually relayed events of their streams;
* no target has ever answered it completely, while most of those beside it are answered
  by the next target.

So each incarnation of a target that exited under a request adds a weight to the
suspicion of the request, and a complete answer clears it. Three exits at which it had
begun and got no further convict it. A request that only ran beside the cause would have
to meet three exits in its at most four runs, each in the first 0.1 s after it had
begun.

A request under which two targets have exited waits for a while before it is sent again.
By then the cause of the first exits is mostly gone, if it was another request; so an
exit after such a wait counts fully, however far the answer got.
"""

from collections import OrderedDict
from typing import Annotated, NamedTuple

import msgspec

from cowslipcourse.quarantine.fingerprints import FINGERPRINT_BYTES

__all__ = [
    "CrashReport",
    "PartAnswer",
    "PartCrash",
    "Suspects",
    "Verdict",
    "Verdicts",
]

STALLED_WEIGHT = 2
"""Weight of an exit under a run that had begun and got no further."""
NOT_BEGUN_WEIGHT = 1
"""Weight of an exit under a run whose answer had not begun: it may have waited in a
queue, or the target may have exited while it read the prompt."""
QUARANTINE_WEIGHT = 6
"""Weight at which a request is convicted: three exits of the greater weight. Callers
and other requests are certain to lose three targets to it, and no more."""
STORE_WEIGHT = 4
"""Weight from which reports are stored: two such exits. Otherwise a request could end
two more targets after each restart of all daemons."""
SUSPICION_S = 600.0
"""Time for which an exit counts against a request: one that is repeated hours later
meets other software, and the memory is bounded."""
HOLD_EXITS = 2
REQUEST_HOLD_S = 1.0
"""Time after an exit for which a request waits under which :data:`HOLD_EXITS` targets
have exited: by then it shows whether others are the cause."""
PART_SUSPICION_S = 3_600.0
"""Time for which a crash counts against parts of prompts; an answer ends it much sooner
for parts in use."""
MAX_PARTS = 32
"""Shared parts of a prompt that are considered."""
MAX_SUSPECTS = 4_096
"""About 2 MB; the suspect whose last exit is the longest ago is dropped first. On the
largest site the loss of half of 1,200 engines makes some 16 requests suspect at each
daemon."""
MAX_ANSWERED = 2_048
"""Requests remembered as answered, about 300 KB: those of two minutes."""
MAX_VERDICTS = 512
"""25 KB as a row of the store; the verdict that expires first is dropped first. Each
has cost three targets, so a site cannot sustain more for long."""
QUARANTINE_S = 3_600.0
"""Time until a quarantined request is tried again: software is replaced in hours."""
QUARANTINE_GROWTH_FACTOR = 4
"""Factor by which each trial that ended a target prolongs the time to the next one:
three trials in a day."""


_Count = Annotated[int, msgspec.Meta(ge=0)]
_Fingerprint = Annotated[
    bytes, msgspec.Meta(min_length=FINGERPRINT_BYTES, max_length=FINGERPRINT_BYTES)
]
_Age = Annotated[float, msgspec.Meta(ge=0, le=86_400)]


_Parts = Annotated[
    tuple[_Fingerprint, ...], msgspec.Meta(min_length=1, max_length=MAX_PARTS)
]


class CrashReport(NamedTuple):
    """A target exited while running a request.

    :param fingerprint: fingerprint of the request.
    :param target: id of the target.
    :param incarnation: incarnation of the target that exited.
    :param has_begun: whether the request had begun to run, as far as is known.
    :param relayed_events: number of events of a stream that this run relayed.
    :param last_event_id: id of the last event that the caller has; 0 for none.
    """

    fingerprint: _Fingerprint
    target: str
    incarnation: _Count
    has_begun: bool
    relayed_events: _Count
    last_event_id: _Count


class PartCrash(NamedTuple):
    """A target crashed when it had begun to answer a request and sent no event.

    :param request: fingerprint of the request.
    :param parts: fingerprints of the shared parts of its prompt, in order.
    :param target: id of the target.
    :param incarnation: incarnation of the target that crashed.
    :param age_s: seconds since the crash.
    """

    request: _Fingerprint
    parts: _Parts
    target: str
    incarnation: _Count
    age_s: _Age


class PartAnswer(NamedTuple):
    """A request with a part was answered.

    :param part: fingerprint of the part.
    :param age_s: seconds since the request was sent to its target.
    """

    part: _Fingerprint
    age_s: _Age


class _Suspect:
    """Evidence against a request."""

    def __init__(self):
        self.weight_by_incarnation = {}
        self.report_by_incarnation = {}
        self.highest_event_id = 0
        self.last_exit_at = 0.0

    def add_report(self, report, now):
        target_incarnation = report.target, report.incarnation
        is_known = target_incarnation in self.report_by_incarnation
        is_later = now - self.last_exit_at >= REQUEST_HOLD_S
        if self.report_by_incarnation and is_later and not is_known:
            weight = STALLED_WEIGHT
        else:
            weight = self._weight(report)
        self.weight_by_incarnation[target_incarnation] = max(
            weight, self.weight_by_incarnation.get(target_incarnation, 0)
        )
        self.report_by_incarnation[target_incarnation] = report
        self.highest_event_id = max(self.highest_event_id, report.last_event_id)
        if not is_known:
            self.last_exit_at = now

    def _weight(self, report):
        if report.relayed_events and report.last_event_id > self.highest_event_id:
            return 0
        return STALLED_WEIGHT if report.has_begun else NOT_BEGUN_WEIGHT

    @property
    def weight(self):
        return sum(self.weight_by_incarnation.values())


class Suspects:
    """Exits of targets that requests have met, and requests that were answered."""

    def __init__(self):
        self._suspects = OrderedDict()
        self._answered = OrderedDict()

    def __len__(self):
        return len(self._suspects)

    def add_report(self, report, now):
        """Record a report; return whether the request is now convicted.

        :param report: :class:`CrashReport`
        :param now: loop time.
        """
        fingerprint = report.fingerprint
        if self.was_answered(fingerprint, now):
            return False
        self._drop_expired(now)
        suspect = self._suspects.setdefault(fingerprint, _Suspect())
        suspect.add_report(report, now)
        self._suspects.move_to_end(fingerprint)
        if len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        return suspect.weight >= QUARANTINE_WEIGHT

    def _drop_expired(self, now):
        while self._suspects:
            fingerprint, oldest = next(iter(self._suspects.items()))
            if now - oldest.last_exit_at < SUSPICION_S:
                return
            del self._suspects[fingerprint]

    def hold_left_s(self, fingerprint, now):
        """Return the seconds for which a request at several exits must still wait."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or len(suspect.weight_by_incarnation) < HOLD_EXITS:
            return 0.0
        return max(0.0, suspect.last_exit_at + REQUEST_HOLD_S - now)

    def exited_incarnations(self, fingerprint):
        """Return the ``(target, incarnation)`` list that exited under a request."""
        suspect = self._suspects.get(fingerprint)
        return [] if suspect is None else list(suspect.weight_by_incarnation)

    def reports_to_store(self, fingerprint):
        """Return the reports against a request if it may soon be convicted.

        One exit is not stored: most requests that met one are answered by the next
        target.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.weight < STORE_WEIGHT:
            return []
        return list(suspect.report_by_incarnation.values())

    def record_answered(self, fingerprint, now, is_local=True):
        """Clear a request that a target answered completely.

        :param is_local: whether this daemon relayed the complete answer, not another
            one.
        :returns: whether the request was suspected.
        """
        self._answered[fingerprint] = now, is_local
        self._answered.move_to_end(fingerprint)
        if len(self._answered) > MAX_ANSWERED:
            self._answered.popitem(last=False)
        return self._suspects.pop(fingerprint, None) is not None

    def was_answered(self, fingerprint, now):
        """Whether a target recently answered a request completely."""
        answered = self._answered.get(fingerprint)
        return answered is not None and now - answered[0] < SUSPICION_S

    def was_answered_here(self, fingerprint):
        """Whether this daemon relayed the answer to a request."""
        answered = self._answered.get(fingerprint)
        return answered is not None and answered[1]

    def drop(self, fingerprint):
        """Drop the evidence against a request."""
        self._suspects.pop(fingerprint, None)


class Verdict(NamedTuple):
    """A quarantined request, or part of prompts, which is not sent to targets.

    :param fingerprint: fingerprint of the request.
    :param until: time from which on it may be tried once: loop time in a daemon, Unix
        time in the store, seconds from now in messages.
    :param trials: number of trials begun since it was convicted.
    """

    fingerprint: _Fingerprint
    until: float
    trials: _Count = 0

    @property
    def issued_at(self):
        """Time at which it was issued, or its last trial began, on the same clock."""
        return self.until - QUARANTINE_S * QUARANTINE_GROWTH_FACTOR**self.trials

    def after_trial_began(self, now):
        """Return the verdict in force once a trial has begun."""
        trials = self.trials + 1
        return Verdict(
            self.fingerprint,
            now + QUARANTINE_S * QUARANTINE_GROWTH_FACTOR**trials,
            trials,
        )


class Verdicts:
    """Verdicts by fingerprint, of a bounded number."""

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
        """Add a verdict; return whether it was new.

        A repetition does not prolong a known verdict.
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
