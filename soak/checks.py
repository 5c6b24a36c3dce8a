"""The promises, checked against what callers and targets saw."""

from features.support.platform_site import stream_events
from soak.history import CallKind

__all__ = ["check"]

NOT_RUN = (408, 421, 429, 503)
"""Statuses that say that a request has not run and never will."""
CONTACT_S = 3.0
"""Calm before bounds hold, as on the users' platform."""
APPLY_S = 2.0
LEAVE_S = 2.0
"""Bounds of configurations and of targets that leave, as on the users' platform."""
ENDS_ALLOWED = 3
LATER_ALLOWED = 3
"""Targets that a request may end, and may reach once that has been known in time."""
LOOP_MARGIN_S = 0.5
"""The observer's own loop is late at times; times are taken on both sides."""


def check(site):
    """Return what broke a promise, as a list of texts.

    :param site: :class:`~soak.site.SoakSite`
    """
    history = site.history
    return [
        *(f"groups: {found}" for found in site.world.violations[:3]),
        *(f"process ended by itself: {found}" for found in history.own_ends),
        *(f"planned stop took too long: {found}" for found in history.slow_stops),
        *(f"the soak itself: {found}" for found in history.broken_faults),
        *_answers(history),
        *_runs(site),
        *_planned(history),
        *_keys(history),
        *_leaving(site),
        *_ending(site),
    ]


def _answers(history):
    """Check that a success is the whole answer to its own request."""
    for call in history.calls:
        if call.status != 200 or call.body is None:
            continue
        expected = b"done"
        if call.kind == CallKind.STREAM:
            expected = b"".join(stream_events(call.name))
        if call.body != expected:
            yield f"wrong answer: {call}"


def _runs(site):
    """Check that bookings run once at most, and that "not run" is true."""
    runs = [run.attempt for run in site.runs]
    for call in site.history.calls:
        number = runs.count(call.attempt)
        if call.kind == CallKind.BOOKING and number > 1:
            yield f"ran {number} times: {call}"
        if call.kind == CallKind.BOOKING and call.status in NOT_RUN and number:
            yield f"told not run, but it ran: {call}"
        if call.kind != CallKind.STREAM and call.status == 200 and not number:
            yield f"success without a run: {call}"


def _planned(history):
    """Check that planned work alone cuts no request off."""
    for call in history.calls:
        if call.status is not None and call.body is not None and call.status < 500:
            continue
        if not call.was_sent or call.status in NOT_RUN:
            continue
        span = call.began_at, call.ended_at, CONTACT_S
        subjects = (call.daemon, "store", "targets")
        if all(history.is_calm(each, *span, False) for each in subjects):
            yield f"cut off by planned work: {call}"


def _keys(history):
    """Check that configurations are in force in time and never revert."""
    newest = {}
    calls = [c for c in history.calls if c.turn is not None and c.run is not None]
    for call in sorted(calls, key=lambda call: call.began_at):
        is_served = call.status == 200
        if not is_served and call.status != 401:
            continue
        seen = [
            (turn, at)
            for turn, at in newest.get((call.daemon, call.run), [])
            if at < call.began_at
        ]
        if is_served and any(turn > call.turn for turn, _ in seen):
            yield f"went back to an older configuration: {call}"
        if is_served:
            known = newest.setdefault((call.daemon, call.run), [])
            known.append((call.turn, call.ended_at))
        yield from _in_force(history, call, is_served)


def _in_force(history, call, is_served):
    due_at = call.began_at - APPLY_S - LOOP_MARGIN_S
    subjects = (call.daemon, "store")
    span = call.began_at, call.ended_at, CONTACT_S
    if not all(history.is_calm(each, *span) for each in subjects):
        return
    due = max((t for t, at in history.configured_at.items() if at <= due_at), default=0)
    begun = [t for t, at in history.configured_at.items() if at <= call.ended_at]
    latest = max(begun, default=0)
    if is_served and call.turn < due:
        yield f"served by a key taken away: {call}"
    if not is_served and call.turn == due == latest and due > 0:
        yield f"refused a key in force: {call}"


def _leaving(site):
    """Check that a target that leaves gets nothing new."""
    history = site.history
    calls = {call.attempt: call for call in history.calls}
    for run in site.runs:
        left_at = history.left_at.get(run.target)
        if left_at is None or run.at < left_at + LEAVE_S + LOOP_MARGIN_S:
            continue
        call = calls.get(run.attempt)
        if call is None:
            continue
        span = left_at, run.at, CONTACT_S
        if all(history.is_calm(each, *span) for each in (call.daemon, "store")):
            yield f"sent to a target that left {run.at - left_at:.1f} s ago: {call}"


def _ending(site):
    """Check that a request which ends its targets is kept from them in time."""
    history = site.history
    calls = {call.attempt: call for call in history.calls}
    for name in {end.name for end in site.ends}:
        ends = sorted(end.at for end in site.ends if end.name == name)
        if len(ends) < ENDS_ALLOWED:
            continue
        due_at = ends[ENDS_ALLOWED - 1] + CONTACT_S + LOOP_MARGIN_S
        later = []
        for arrival in site.arrivals:
            call = calls.get(arrival.attempt)
            if arrival.name != name or arrival.at < due_at or call is None:
                continue
            span = arrival.at, arrival.at, CONTACT_S
            if all(history.is_calm(each, *span) for each in (call.daemon, "store")):
                later.append(arrival)
        if len(later) > LATER_ALLOWED:
            yield f"ended {len(ends)} targets, {len(later)} later arrivals: {name}"
