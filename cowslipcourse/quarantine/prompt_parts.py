"""Decides which part of prompts crashes the targets that answer it, without I/O.

Requests share parts of their prompts. A part that crashes each target which begins to
answer it comes with ever new requests, so no single request is at many crashes. What
tells it from the other parts of these requests:

* at each crash it was in the prompt of a request that had begun to be answered and none
  of whose events had arrived; requests beside it wait or have events;
* no request with it, sent after the first of these crashes, is answered.

The other parts of the same prompts are at the same crashes until a sound request with
them is answered. Until then the part that explains most is the suspect: rather one that
was never answered, then one that is at more crashes, then the last one in the prompt,
which the fewest other requests share.
"""

from collections import OrderedDict, deque
from typing import NamedTuple

from cowslipcourse.quarantine.fingerprints import SERVICE_BYTES
from cowslipcourse.quarantine.verdicts import PART_SUSPICION_S

__all__ = ["QUARANTINE_CRASHES", "ObservedExits", "PartSuspects", "SoundParts"]

QUARANTINE_CRASHES = 4
"""Crashes that convict a part; callers accept five."""
MIN_REQUESTS = 2
"""Different requests that these crashes need: a single one is convicted by itself."""
SUSPICION_CRASHES = 2
"""Crashes from which the daemons are asked for answers to requests with the part."""
UNPROVEN_WAIT_S = 1.0
"""Time from the first crash for which sound requests may clear a part that no daemon
has seen answered: longer than most answers take."""
PROVEN_WAIT_S = 2.0
"""The same for a part that was answered before the crashes."""
MIN_SERIES_S = 0.5
"""Time that crashes must span to prove by themselves that targets crash anew. A shorter
series may be one loss of many targets."""
MIN_OBSERVED_EXITS = 3
"""Exits that a daemon has observed itself and a part must explain, all of them, if a
short series is to convict it before others are answered."""
MAX_ALTERNATIVES = 2
"""Parts at some of the crashes each that together explain those of a part before them.
A cause that more of them share is likelier than as many bad parts at once."""
MAX_UNEXPLAINED = 1
"""Crashes that these parts may leave without an explanation."""
MAX_CRASHES = 1_024
"""About 1 MB with ten parts each; the crash reported the longest ago is dropped."""
MAX_SOUND_PARTS = 4_096
"""Parts known to be answered, about 600 KB; the one answered the longest ago is
dropped first."""
MAX_OBSERVED_EXITS = 256
"""Requests under which targets exited, the latest."""
MAX_RECENT_ANSWERS = 64
"""Latest answers that are searched for one to a request without a part."""


class _Crash:
    """A crash and the parts that may have caused it."""

    def __init__(self, report, crashed_at, is_stored):
        self.report = report
        self.parts = report.parts
        self.crashed_at = crashed_at
        self.is_stored = is_stored

    @property
    def incarnation(self):
        return self.report.target, self.report.incarnation


class _Evidence(NamedTuple):
    """What is known against a part.

    :param part: fingerprint.
    :param crashes: list of :class:`_Crash`
    :param was_answered: whether a request with it was answered before the crashes.
    """

    part: bytes
    crashes: list
    was_answered: bool

    @property
    def count(self):
        """Number of crashed targets."""
        return len({crash.incarnation for crash in self.crashes})

    @property
    def first_at(self):
        """Loop time of the first crash."""
        return min(crash.crashed_at for crash in self.crashes)

    @property
    def last_at(self):
        """Loop time of the last crash."""
        return max(crash.crashed_at for crash in self.crashes)

    @property
    def suspicion(self):
        """Key by which the most suspect of several parts comes last."""
        # The reported lists, from which no part has been cleared.
        position = max(crash.report.parts.index(self.part) for crash in self.crashes)
        return not self.was_answered, self.count, position

    def is_sufficient(self):
        """Whether there are enough crashes, not all read from the store."""
        requests = {crash.report.request for crash in self.crashes}
        return (
            self.count >= QUARANTINE_CRASHES
            and len(requests) >= MIN_REQUESTS
            and not all(crash.is_stored for crash in self.crashes)
        )


class PartSuspects:
    """Crashes of targets by the parts of the prompts that they had begun to answer."""

    def __init__(self):
        self._crashes = OrderedDict()
        self._keys_by_part = {}
        self._answered = _LatestTimes(MAX_SOUND_PARTS)
        self._loaded_at = float("-inf")

    def __len__(self):
        return len(self._crashes)

    def add_crash(self, report, now, is_stored=False):
        """Record a crash; repetitions change nothing.

        :param report: :class:`~cowslipcourse.quarantine.PartCrash`
        :param now: loop time.
        :param is_stored: whether it was read from the store.
        """
        self._drop_expired(now)
        if is_stored:
            self._loaded_at = now
        key = report.target, report.incarnation, report.request
        if key in self._crashes:
            return
        crash = _Crash(report, now - report.age_s, is_stored)
        crash.parts = tuple(
            part
            for part in report.parts
            if self._answered.get(part) <= crash.crashed_at
        )
        if not crash.parts:
            return
        self._crashes[key] = crash
        for part in crash.parts:
            self._keys_by_part.setdefault(part, set()).add(key)
        if len(self._crashes) > MAX_CRASHES:
            self._drop(next(iter(self._crashes)))

    def _drop_expired(self, now):
        while self._crashes:
            key, oldest = next(iter(self._crashes.items()))
            if now - oldest.crashed_at < PART_SUSPICION_S:
                return
            self._drop(key)

    def _drop(self, key):
        for part in self._crashes.pop(key).parts:
            self._remove_key(part, key)

    def _remove_key(self, part, key):
        keys = self._keys_by_part[part]
        keys.discard(key)
        if not keys:
            del self._keys_by_part[part]

    def record_answer(self, part, sent_at):
        """Clear a part of the crashes before a request that was answered.

        :param sent_at: loop time at which the request was sent to its target.
        """
        self._answered.record(part, sent_at)
        for key in list(self._keys_by_part.get(part, ())):
            crash = self._crashes[key]
            if crash.crashed_at < sent_at:
                crash.parts = tuple(each for each in crash.parts if each != part)
                self._remove_key(part, key)
                if not crash.parts:
                    del self._crashes[key]

    def suspected_parts(self, since):
        """Return the parts that are at several crashes, one later than ``since``."""
        suspected = (
            self._evidence(part)
            for part, keys in self._keys_by_part.items()
            if len(keys) >= SUSPICION_CRASHES
        )
        return [
            evidence.part
            for evidence in suspected
            if evidence.count >= SUSPICION_CRASHES and evidence.last_at > since
        ]

    def is_suspected(self, part):
        """Whether the part is at a crash."""
        return part in self._keys_by_part

    def due_parts(self, now, sound_parts, observed_exits):
        """Return the parts that may be convicted now, the most suspect first.

        Convicting one may explain the crashes of the others.

        :param now: loop time.
        :param sound_parts: :class:`SoundParts` of this daemon.
        :param observed_exits: :class:`ObservedExits` of this daemon.
        """
        due = []
        for part, keys in self._keys_by_part.items():
            if len(keys) < QUARANTINE_CRASHES:
                continue
            evidence = self._evidence(part)
            if (
                evidence.is_sufficient()
                and now - max(evidence.first_at, self._loaded_at) >= _wait_s(evidence)
                and not self._is_better_explained(evidence)
                and _is_series(evidence, sound_parts, observed_exits)
            ):
                due.append(evidence)
        due.sort(key=lambda evidence: evidence.suspicion, reverse=True)
        return [evidence.part for evidence in due]

    def _is_better_explained(self, evidence):
        """Whether a more suspect part, or a few, are at the crashes of this one."""
        if self._has_alternatives(evidence):
            return True
        common = set.intersection(*(set(crash.parts) for crash in evidence.crashes))
        others = [self._evidence(other) for other in common if other != evidence.part]
        return any(
            other.suspicion > evidence.suspicion and not self._has_alternatives(other)
            for other in others
        )

    def _has_alternatives(self, evidence):
        """Whether a few more suspect parts together explain the crashes of this one."""
        alternatives = self._alternatives(evidence)
        if not 0 < len(alternatives) <= MAX_ALTERNATIVES:
            return False
        unexplained = [
            crash for crash in evidence.crashes if alternatives.isdisjoint(crash.parts)
        ]
        return evidence._replace(crashes=unexplained).count <= MAX_UNEXPLAINED

    def _alternatives(self, evidence):
        """Return the parts that may have caused some of the crashes instead.

        Each is at crashes of several requests, was not answered since the first crash,
        and is more suspect but for the number of its crashes.
        """
        requests_by_part = {}
        for crash in evidence.crashes:
            position = crash.parts.index(evidence.part)
            for other_position, other in enumerate(crash.parts):
                was_answered = self._was_answered(other)
                is_more_suspect = (not was_answered, other_position) > (
                    not evidence.was_answered,
                    position,
                )
                if is_more_suspect and self._answered.get(other) <= evidence.first_at:
                    requests = requests_by_part.setdefault(other, set())
                    requests.add(crash.report.request)
        return {
            part
            for part, requests in requests_by_part.items()
            if len(requests) >= MIN_REQUESTS
        }

    def _evidence(self, part):
        crashes = [self._crashes[key] for key in self._keys_by_part[part]]
        return _Evidence(part, crashes, self._was_answered(part))

    def _was_answered(self, part):
        return self._answered.get(part) > float("-inf")

    def reports_to_store(self, part, now):
        """Return the crashes against a suspected part.

        :returns: list of :class:`~cowslipcourse.quarantine.PartCrash`
        """
        if part not in self._keys_by_part:
            return []
        evidence = self._evidence(part)
        if evidence.count < SUSPICION_CRASHES:
            return []
        return [
            crash.report._replace(parts=crash.parts, age_s=now - crash.crashed_at)
            for crash in evidence.crashes
        ]

    def convict(self, part):
        """Drop the crashes that a convicted part explains; return their times.

        :returns: dictionary of loop times by ``(target, incarnation)``.
        """
        times = {}
        for key in list(self._keys_by_part.get(part, ())):
            crash = self._crashes[key]
            times[crash.incarnation] = crash.crashed_at
            self._drop(key)
        return times


def _wait_s(evidence):
    return PROVEN_WAIT_S if evidence.was_answered else UNPROVEN_WAIT_S


def _is_series(evidence, sound_parts, observed_exits):
    """Whether the crashes are not one loss of many targets for another reason."""
    if evidence.last_at - evidence.first_at >= MIN_SERIES_S:
        return True
    if sound_parts.answered_without(evidence.part, evidence.last_at):
        return True
    observed = observed_exits.between(
        _service(evidence.part),
        evidence.first_at - MIN_SERIES_S,
        evidence.last_at + MIN_SERIES_S,
    )
    explained = {crash.incarnation for crash in evidence.crashes}
    return len(observed) >= MIN_OBSERVED_EXITS and observed <= explained


def _service(part):
    """Return the part of a fingerprint that identifies the service."""
    return part[:SERVICE_BYTES]


class ObservedExits:
    """Exits of targets under requests of this daemon, whatever their cause."""

    def __init__(self):
        self._exits = deque(maxlen=MAX_OBSERVED_EXITS)

    def record(self, part, incarnation, now):
        """Record an exit.

        :param part: fingerprint of any part of the prompt of a request at the target.
        :param incarnation: ``(target, incarnation)`` that has exited.
        :param now: loop time.
        """
        self._exits.append((_service(part), incarnation, now))

    def between(self, service, start, end):
        """Return the set of incarnations of a service that exited in an interval."""
        return {
            incarnation
            for exit_service, incarnation, at in self._exits
            if exit_service == service and start <= at <= end
        }


class SoundParts:
    """Parts of prompts of requests that targets have answered for this daemon."""

    def __init__(self):
        self._sent_at_by_part = _LatestTimes(MAX_SOUND_PARTS)
        self._recent = deque(maxlen=MAX_RECENT_ANSWERS)

    def record(self, parts, sent_at):
        """Record an answer to a request.

        :param parts: fingerprints of the parts of its prompt.
        :param sent_at: loop time at which it was sent to its target.
        """
        for part in parts:
            self._sent_at_by_part.record(part, sent_at)
        self._recent.append((parts, sent_at))

    def last_sent_at(self, part):
        """Return when the last answered request with a part was sent, or ``-inf``."""
        return self._sent_at_by_part.get(part)

    def answered_without(self, part, since):
        """Whether a request without the part was answered by its service.

        :param since: loop time later than which the request was sent.
        """
        return any(
            sent_at > since and _service(parts[0]) == _service(part)
            for parts, sent_at in self._recent
            if parts and part not in parts
        )


class _LatestTimes:
    """The latest of the times recorded for each key, of a bounded number of keys."""

    def __init__(self, max_keys):
        self._max_keys = max_keys
        self._times = OrderedDict()

    def record(self, key, at):
        self._times[key] = max(at, self.get(key))
        self._times.move_to_end(key)
        if len(self._times) > self._max_keys:
            self._times.popitem(last=False)

    def get(self, key):
        return self._times.get(key, float("-inf"))
