"""What a daemon reports of the exit of a target to the evaluators of its service."""

from collections import Counter
from enum import IntEnum
from typing import Annotated, NamedTuple

import msgspec

from cowslipcourse.quarantine.fingerprints import FINGERPRINT_BYTES
from cowslipcourse.quarantine.verdicts import MAX_PARTS

__all__ = [
    "REQUEST_ID_BYTES",
    "ExitReport",
    "ExitRun",
    "InFlightRuns",
    "PartCount",
    "Stage",
    "StoredExit",
    "StoredPart",
    "make_exit_report",
    "run_stage",
]

REQUEST_ID_BYTES = 8
"""First bytes of the fingerprint of a request, which tell the requests at the exits of
an hour apart."""
MAX_LISTED_PARTS = 256
MAX_LISTED_RUNS = 64
MAX_RATIO = 1e6
FIRST_EVENTS = 2
"""Events up to which an answer has only just begun."""

_Count = Annotated[int, msgspec.Meta(ge=0)]
_Fingerprint = Annotated[
    bytes, msgspec.Meta(min_length=FINGERPRINT_BYTES, max_length=FINGERPRINT_BYTES)
]
_RequestId = Annotated[
    bytes, msgspec.Meta(min_length=REQUEST_ID_BYTES, max_length=REQUEST_ID_BYTES)
]
_Index = Annotated[int, msgspec.Meta(ge=0, lt=MAX_LISTED_PARTS)]
_Age = Annotated[float, msgspec.Meta(ge=0, le=86_400)]
_Ratio = Annotated[float, msgspec.Meta(gt=0, le=MAX_RATIO)]


class Stage(IntEnum):
    """How much of an answer had arrived."""

    WAITING = 0
    """Not even its head."""
    BEGUN = 1
    """Its head and no event."""
    FIRST = 2
    """At most :data:`FIRST_EVENTS` events."""
    WRITING = 3
    """More events."""


_StageCounts = tuple[_Count, _Count, _Count, _Count]


def run_stage(run):
    """Return the :class:`Stage` of a run.

    :param run: :class:`~cowslipcourse.entry.attempts.TargetRun`
    """
    if run.relayed_events:
        is_first = run.relayed_events <= FIRST_EVENTS
        return Stage.FIRST if is_first else Stage.WRITING
    return Stage.BEGUN if run.answer_started else Stage.WAITING


class PartCount(NamedTuple):
    """A part of prompts and how common it is at a daemon.

    :param part: fingerprint of the part.
    :param in_flight: number of requests with it that were in flight, at any target, by
        :class:`Stage`.
    :param sampled: number of the sampled requests with it.
    """

    part: _Fingerprint
    in_flight: _StageCounts
    sampled: _Count


class ExitRun(NamedTuple):
    """A request that was in flight at the target.

    :param request: first bytes of its fingerprint.
    :param stage: :class:`Stage`
    :param parts: places of its shared parts in the list of the report.
    :param is_retry: whether it was sent to the target after an earlier attempt that may
        have run had ended.
    """

    request: _RequestId
    stage: Stage
    parts: tuple[_Index, ...]
    is_retry: bool = False


class ExitReport(NamedTuple):
    """A target exited while a daemon had requests in flight there.

    Only requests with shared parts in their prompts are counted.

    :param reporter: address of the daemon.
    :param target: id of the target.
    :param incarnation: incarnation of the target that exited.
    :param age_s: seconds since the exit.
    :param parts: :class:`PartCount` of each part of the listed runs.
    :param in_flight: number of requests that the daemon had in flight at this target
        and others which might have run them, by :class:`Stage`.
    :param sampled: number of the latest requests that it has sampled.
    :param runs: :class:`ExitRun` of each request at the target, however much of its
        answer had arrived.
    :param unlisted_runs: number of further requests there.
    """

    reporter: str
    target: str
    incarnation: _Count
    age_s: _Age
    parts: Annotated[
        tuple[PartCount, ...],
        msgspec.Meta(min_length=1, max_length=MAX_LISTED_PARTS),
    ]
    in_flight: _StageCounts
    sampled: _Count
    runs: Annotated[tuple[ExitRun, ...], msgspec.Meta(max_length=MAX_LISTED_RUNS)]
    unlisted_runs: _Count = 0

    @property
    def exit_key(self):
        """Hashable id of the incarnation that exited."""
        return self.target, self.incarnation

    @property
    def run_count(self):
        """Number of requests at the target."""
        return len(self.runs) + self.unlisted_runs


class StoredPart(NamedTuple):
    """A part at an exit that is stored.

    :param part: fingerprint of the part.
    :param stage: :class:`Stage` of the requests that are counted, or ``None`` for all.
    :param ratio: share of these requests with it there, over that of all in flight.
    """

    part: _Fingerprint
    stage: Stage | None
    ratio: _Ratio


class StoredExit(NamedTuple):
    """What is stored of an exit: the suspected parts and the requests with them.

    :param target: id of the target.
    :param incarnation: incarnation of the target that exited.
    :param age_s: seconds since the exit.
    :param parts: :class:`StoredPart` list of the suspected parts.
    :param runs: :class:`ExitRun` of each request with one of them.
    """

    target: str
    incarnation: _Count
    age_s: _Age
    parts: tuple[StoredPart, ...]
    runs: tuple[ExitRun, ...]

    @property
    def exit_key(self):
        """Hashable id of the incarnation that exited."""
        return self.target, self.incarnation


class InFlightRuns(NamedTuple):
    """Requests that a daemon had in flight when it saw a target exit.

    :param counts: number of requests by :class:`Stage`.
    :param part_counts: number of requests by pair of part and :class:`Stage`.
    """

    counts: Counter
    part_counts: Counter

    def add(self, parts, stage):
        """Add a request.

        :param parts: fingerprints of the shared parts of its prompt.
        """
        self.counts[stage] += 1
        self.part_counts.update((part, stage) for part in set(parts))

    def by_stage(self, part=None):
        """Return the numbers of requests by stage, of all or of those with a part."""
        if part is None:
            return tuple(self.counts[stage] for stage in Stage)
        return tuple(self.part_counts[part, stage] for stage in Stage)


def make_exit_report(reporter, target_key, runs, in_flight, sample):
    """Return the :class:`ExitReport` of an exit that has just been observed.

    :param reporter: address of this daemon.
    :param target_key: id and incarnation of the target.
    :param runs: :class:`~cowslipcourse.entry.calls.Call`, :class:`Stage`, and whether
        it is a retry, of the requests there.
    :param in_flight: :class:`InFlightRuns` at all targets.
    :param sample: :class:`~cowslipcourse.quarantine.part_shares.PartSample`
    """
    places, listed = {}, []
    for call, stage, is_retry in runs[:MAX_LISTED_RUNS]:
        parts = call.part_fingerprints[:MAX_PARTS]
        if len(places) + len(parts) > MAX_LISTED_PARTS:
            break
        run_places = tuple(places.setdefault(part, len(places)) for part in parts)
        request = call.fingerprint[:REQUEST_ID_BYTES]
        listed.append(ExitRun(request, stage, run_places, is_retry))
    target, incarnation = target_key
    return ExitReport(
        reporter,
        target,
        incarnation,
        0.0,
        tuple(
            PartCount(part, in_flight.by_stage(part), sample.counts[part])
            for part in places
        ),
        in_flight.by_stage(),
        len(sample),
        tuple(listed),
        len(runs) - len(listed),
    )
