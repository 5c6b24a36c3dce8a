"""Runs of daemon processes in front of engines that exit under a part of prompts."""

import re
from typing import NamedTuple

from cowslipcourse.emulator.crashes import MAX_PART_CRASHES_BEFORE_DETECTION
from cowslipcourse.quarantine import part_fingerprints
from features.support.crashing_site import (
    BAD_PARTS,
    Aftermath,
    CrashForm,
    CrashingSite,
)
from features.support.engine_world import SERVICE
from features.support.prompt_callers import PromptCallers, PromptShape

__all__ = [
    "CrashFormRun",
    "CrashFormScenario",
    "exceeded_bounds",
    "make_site",
    "play",
]

MAX_LATE_ARRIVALS = 3
MAX_CRASHES = {1: 6, 2: 9}
"""Engines that may exit in all, by the number of bad parts."""
MIN_SERVED_SHARE = 0.5
"""Least share of the sound requests answered at the first attempt afterwards, of that
before."""
SPREAD_S = 3.0
"""Time from the fifth crash until no daemon may send on a request with the part."""
SETTLING_S = 6.0
"""Time from the fifth crash until sound requests are served again."""
MIN_SETTLED_REQUESTS = 30
"""Sound requests by which a run is judged, about those of a second."""
_VERDICT = re.compile(r"event=part-quarantined fingerprint=([0-9a-f]+)")


class CrashFormScenario(NamedTuple):
    """What a run plays.

    :param form: :class:`~features.support.crashing_site.CrashForm`
    :param daemons: number of daemon processes.
    :param aftermath: :class:`~features.support.crashing_site.Aftermath`
    :param bad_parts: ids of the bad parts.
    :param ends_with_connection: whether streams have neither a length nor chunks.
    :param is_reset: whether engines that exit reset their connections.
    :param shape: :class:`~features.support.prompt_callers.PromptShape`
    """

    form: CrashForm
    daemons: int = 4
    aftermath: Aftermath = Aftermath.REFUSED
    bad_parts: tuple = BAD_PARTS[:1]
    ends_with_connection: bool = False
    is_reset: bool = False
    shape: PromptShape = PromptShape()


class CrashFormRun(NamedTuple):
    """Results of a run.

    :param crash_count: number of engines that exited.
    :param late_count: requests with each bad part that reached engines later than
        :data:`SPREAD_S` after its fifth crash, summed over the parts.
    :param convicted: names of the bad parts that were convicted, sorted.
    :param sound_convicted: number of sound parts that were convicted.
    :param share_before: share of the sound requests answered at the first attempt
        before the first bad request.
    :param share_after: the same from :data:`SETTLING_S` after the fifth crash on.
    :param settled_count: number of the sound requests from then on.
    :param lost_count: sound requests from the first bad one on that were not answered.
    """

    crash_count: int
    late_count: int
    convicted: tuple
    sound_convicted: int
    share_before: float
    share_after: float
    settled_count: int
    lost_count: int


def make_site(scenario):
    """Return the :class:`CrashingSite` of a scenario."""
    return CrashingSite(
        scenario.daemons,
        scenario.form,
        scenario.aftermath,
        scenario.bad_parts,
        scenario.ends_with_connection,
        scenario.is_reset,
    )


async def play(site, shape, seed, seconds, bad_from_s):
    """Send the prompts of a shape to a site that serves; return the run.

    :param seconds: duration of the run.
    :param bad_from_s: seconds until the first prompt with a bad part may be sent.
    :returns: :class:`CrashFormRun`
    """
    callers = PromptCallers(site, shape, seed)
    await callers.run(seconds, bad_from_s)
    return _evaluate(site, callers.calls)


def exceeded_bounds(run, scenario):
    """Return the names of the bounds that a run exceeds.

    :param run: :class:`CrashFormRun`
    :param scenario: its :class:`CrashFormScenario`
    """
    checks = {
        "late": run.late_count > MAX_LATE_ARRIVALS,
        "exits": run.crash_count > MAX_CRASHES[len(scenario.bad_parts)],
        "sound-convicted": run.sound_convicted > 0,
        "too-short": run.settled_count < MIN_SETTLED_REQUESTS,
        "unserved": run.share_after < run.share_before * MIN_SERVED_SHARE,
    }
    return [name for name, is_exceeded in checks.items() if is_exceeded]


def _evaluate(site, calls):
    crashes = {
        part: sorted(each.at for each in site.part_crashes if each.part == part)
        for part in site.bad_parts
    }
    fifth_at = {
        part: times[MAX_PART_CRASHES_BEFORE_DETECTION - 1]
        for part, times in crashes.items()
        if len(times) >= MAX_PART_CRASHES_BEFORE_DETECTION
    }
    late = [
        arrival
        for arrival in site.part_arrivals
        if arrival.at > fifth_at.get(arrival.part, float("inf")) + SPREAD_S
    ]
    convicted = set()
    for text in site.logs().values():
        convicted |= set(_VERDICT.findall(text))
    bad = {
        fingerprint.hex(): part
        for part, fingerprint in zip(
            site.bad_parts, part_fingerprints(SERVICE, site.bad_parts), strict=True
        )
    }
    first_bad_at = min((call.at for call in calls if call.is_bad), default=0.0)
    detected = fifth_at.values() or [times[-1] for times in crashes.values() if times]
    settled_at = max(detected, default=first_bad_at) + SETTLING_S
    sound = [call for call in calls if not call.is_bad]
    settled = [call for call in sound if call.at >= settled_at]
    return CrashFormRun(
        sum(map(len, crashes.values())),
        len(late),
        tuple(sorted(bad[each] for each in convicted & set(bad))),
        len(convicted - set(bad)),
        _share([call for call in sound if call.at < first_bad_at]),
        _share(settled),
        len(settled),
        sum(not call.is_whole for call in sound if call.at >= first_bad_at),
    )


def _share(calls):
    return sum(call.is_served_at_once for call in calls) / max(1, len(calls))
