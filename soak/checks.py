"""Checks of the system's guarantees against the records of callers and targets."""

from collections import Counter

from features.support.budget_oracle import worst_window
from features.support.engine_world import SERVICE
from features.support.platform_site import PLAIN_SERVICE, stream_events
from soak.callers import TIME_BUDGET_S
from soak.history import STREAM_KINDS, CallKind

__all__ = ["check", "streams_checked_in_silences"]

NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
"""Statuses that guarantee that a request has not run and never will."""
RUN_AT_MOST_ONCE_KINDS = (CallKind.BOOKING, CallKind.STREAM_ONCE)
LOSS_SLACK_S = 0.2
"""Time within which a daemon may close a connection on a request that it has not read,
as on the users' platform."""
MIN_STAND_STILL_S = 1.0
"""Stand-still of the platform that a call which reaches its deadline is excused by."""
SETTLE_TIME_S = 3.0
"""Undisturbed time after which bounds hold, as on the users' platform."""
APPLY_LIMIT_S = 2.0
DRAIN_LIMIT_S = 2.0
"""Bounds for applying a configuration and for draining a target."""
CRASHES_ALLOWED = 3
LATE_ARRIVALS_ALLOWED = 3
"""Targets that a request may crash, and may reach after the bound has passed."""
KINDS_BY_SERVICE = {
    SERVICE: STREAM_KINDS,
    PLAIN_SERVICE: (CallKind.BOOKING, CallKind.LOOKUP),
}
ARRIVALS_IN_PAUSE_ALLOWED = 2
"""Requests of a daemon that may reach a target within a pause."""
LOOP_MARGIN_S = 0.5
"""Tolerance for delays of the observer's own event loop."""


def check(site):
    """Return the violated guarantees as a list of messages.

    :param site: :class:`~soak.site.SoakSite`
    """
    history = site.history
    return [
        *(f"groups: {violation}" for violation in site.world.violations[:3]),
        *(
            f"process exited unexpectedly: {violation}"
            for violation in history.unexpected_exits
        ),
        *(
            f"planned stop took too long: {violation}"
            for violation in history.slow_stops
        ),
        *(
            f"error in the soak test itself: {violation}"
            for violation in history.failed_tasks
        ),
        *_check_bodies(history),
        *_check_executions(site),
        *_check_planned_work(site),
        *_check_keys(history),
        *_check_keyless(history),
        *_check_draining(site),
        *_check_crashing_requests(site),
        *_check_rate_limits(site),
        *_check_pauses(site),
        *_check_retries(site),
    ]


def _check_bodies(history):
    """Check that a successful response is complete and belongs to its request."""
    for call in history.calls:
        if call.status != 200 or call.body is None:
            continue
        expected = b"done"
        if call.kind in STREAM_KINDS:
            expected = b"".join(stream_events(call.request_name))
        if call.body != expected:
            yield f"wrong response body: {call}"


def _executed_ids(site):
    """Return the attempt id of each execution, which targets of any kind began."""
    plain_ids = [execution.attempt_id for execution in site.executions]
    return plain_ids + site.stream_attempt_ids


def _check_executions(site):
    """Check what runs at most once, and that reports of "not run" are true."""
    execution_counts = Counter(_executed_ids(site))
    for call in site.history.calls:
        execution_count = execution_counts[call.attempt_id]
        runs_once = call.kind in RUN_AT_MOST_ONCE_KINDS
        if runs_once and execution_count > 1:
            yield f"ran {execution_count} times: {call}"
        if runs_once and call.status in NOT_EXECUTED_STATUSES and execution_count:
            yield f"reported as not run, but it ran: {call}"
        is_stream = call.kind in STREAM_KINDS
        if not is_stream and call.status == 200 and not execution_count:
            yield f"success without an execution: {call}"


def _check_planned_work(site):
    """Check that neither planned maintenance nor silent targets interrupt a request."""
    executed_ids = set(_executed_ids(site))
    for call in site.history.calls:
        if call.status is not None and call.body is not None and call.status < 500:
            continue
        if not call.was_sent or call.status in NOT_EXECUTED_STATUSES:
            continue
        if _crossed_close(call) and call.attempt_id not in executed_ids:
            continue
        if _has_lost_its_time(site.history, call):
            continue
        if _is_undisturbed(site.history, call):
            yield f"interrupted by planned maintenance or a silence: {call}"


def _has_lost_its_time(history, call):
    """Whether a call reached its deadline and its platform stood still meanwhile."""
    if call.ended_at - call.began_at < TIME_BUDGET_S:
        return False
    return history.stand_still_s(call.began_at, call.ended_at) >= MIN_STAND_STILL_S


def _crossed_close(call):
    """Whether a call may have crossed the close of the connection that it used."""
    took_s = call.ended_at - call.began_at
    return call.is_kept and call.status is None and took_s <= LOSS_SLACK_S


def _is_undisturbed(history, call):
    """Whether only planned maintenance disturbed what a call depends on."""
    span = call.began_at, call.ended_at, SETTLE_TIME_S
    subjects = (call.daemon, "store", "targets")
    return all(history.is_undisturbed(subject, *span, False) for subject in subjects)


def streams_checked_in_silences(history):
    """Return how many undisturbed streams were under way as a target fell silent.

    :param history: :class:`~soak.history.SiteHistory`
    """
    return sum(
        call.kind in STREAM_KINDS
        and any(call.began_at < at < call.ended_at for at, _ in history.silences)
        and _is_undisturbed(history, call)
        for call in history.calls
    )


def _check_keys(history):
    """Check that configurations take effect in time and are never reverted."""
    accepted_versions = {}
    calls = [
        c
        for c in history.calls
        if c.key_version is not None and c.incarnation is not None
    ]
    for call in sorted(calls, key=lambda call: call.began_at):
        is_accepted = call.status == 200
        if not is_accepted and call.status != 401:
            continue
        earlier = [
            (key_version, at)
            for key_version, at in accepted_versions.get(
                (call.daemon, call.incarnation), []
            )
            if at < call.began_at
        ]
        if is_accepted and any(
            key_version > call.key_version for key_version, _ in earlier
        ):
            yield f"reverted to an older configuration: {call}"
        if is_accepted:
            versions = accepted_versions.setdefault((call.daemon, call.incarnation), [])
            versions.append((call.key_version, call.ended_at))
        yield from _check_key_in_force(history, call, is_accepted)


def _check_key_in_force(history, call, is_accepted):
    due_at = call.began_at - APPLY_LIMIT_S - LOOP_MARGIN_S
    subjects = (call.daemon, "store")
    span = call.began_at, call.ended_at, SETTLE_TIME_S
    if not all(history.is_undisturbed(subject, *span) for subject in subjects):
        return
    due_version = max(
        (t for t, at in history.key_configured_at.items() if at <= due_at), default=0
    )
    started_versions = [
        t for t, at in history.key_configured_at.items() if at <= call.ended_at
    ]
    latest_version = max(started_versions, default=0)
    if is_accepted and call.key_version < due_version:
        yield f"accepted a revoked key: {call}"
    if (
        not is_accepted
        and due_version not in history.keyless_versions
        and call.key_version == due_version == latest_version
        and due_version > 0
    ):
        yield f"refused a valid key: {call}"


def _check_keyless(history):
    """Check that nobody is served while no key exists."""
    for call in history.calls:
        if call.status != 200:
            continue
        due_at = call.began_at - APPLY_LIMIT_S - LOOP_MARGIN_S
        due_version = max(
            (t for t, at in history.key_configured_at.items() if at <= due_at),
            default=0,
        )
        latest_version = max(
            (t for t, at in history.key_configured_at.items() if at <= call.ended_at),
            default=0,
        )
        if due_version not in history.keyless_versions or due_version < latest_version:
            continue
        span = call.began_at, call.ended_at, SETTLE_TIME_S
        subjects = (call.daemon, "store")
        if all(history.is_undisturbed(subject, *span) for subject in subjects):
            yield f"served although no key exists: {call}"


def _check_draining(site):
    """Check that a draining target gets no new requests."""
    history = site.history
    calls = {call.attempt_id: call for call in history.calls}
    for execution in site.executions:
        draining_since = history.draining_since.get(execution.target)
        if (
            draining_since is None
            or execution.at < draining_since + DRAIN_LIMIT_S + LOOP_MARGIN_S
        ):
            continue
        call = calls.get(execution.attempt_id)
        if call is None:
            continue
        span = draining_since, execution.at, SETTLE_TIME_S
        if all(
            history.is_undisturbed(subject, *span) for subject in (call.daemon, "store")
        ):
            yield (
                f"sent to a target that has been draining for "
                f"{execution.at - draining_since:.1f} s: {call}"
            )


def _check_crashing_requests(site):
    """Check that a request which crashes its targets is quarantined in time."""
    history = site.history
    calls = {call.attempt_id: call for call in history.calls}
    for request_name in {crash.request_name for crash in site.crashes}:
        crashes = sorted(
            crash.at for crash in site.crashes if crash.request_name == request_name
        )
        if len(crashes) < CRASHES_ALLOWED:
            continue
        due_at = crashes[CRASHES_ALLOWED - 1] + SETTLE_TIME_S + LOOP_MARGIN_S
        late_arrivals = []
        for arrival in site.arrivals:
            call = calls.get(arrival.attempt_id)
            if (
                arrival.request_name != request_name
                or arrival.at < due_at
                or call is None
            ):
                continue
            span = arrival.at, arrival.at, SETTLE_TIME_S
            if all(
                history.is_undisturbed(subject, *span)
                for subject in (call.daemon, "store")
            ):
                late_arrivals.append(arrival)
        if len(late_arrivals) > LATE_ARRIVALS_ALLOWED:
            yield (
                f"crashed {len(crashes)} targets, {len(late_arrivals)} late arrivals: "
                f"{request_name}"
            )


def _check_retries(site):
    """Check that targets get no more repeats than all daemons together are allowed."""
    settings, history = site.retry_settings, site.history
    if settings is None:
        return
    for service, arrivals in history.arrivals.items():
        repeats = sorted(at for times in arrivals.values() for at in sorted(times)[1:])
        if not repeats:
            continue
        kinds = KINDS_BY_SERVICE[service]
        sent = sorted(call.began_at for call in history.calls if call.kind in kinds)
        window = worst_window(settings, sent, repeats)
        if window.is_violation:
            yield f"repeats at {service} beyond the retry budget: {window}"


def _check_rate_limits(site):
    """Check that targets get no more requests than their rate limits tolerate."""
    history = site.history
    calls = {call.attempt_id: call for call in history.calls}

    def is_disturbed(attempt_id, at):
        call = calls.get(attempt_id)
        return call is None or not history.is_undisturbed(
            call.daemon, at, at, SETTLE_TIME_S
        )

    for figure in site.limit_oracle.figures(is_disturbed):
        if figure.excess > 1:
            yield f"{figure.excess:.2f} times the tolerated requests: {figure}"


def _check_pauses(site):
    """Check that targets get nothing from daemons that they asked for a pause."""
    history = site.history
    daemons = {call.attempt_id: call.daemon for call in history.calls}

    def is_disturbed(daemon, began_at, ended_at):
        return not all(
            history.is_undisturbed(subject, began_at, ended_at, SETTLE_TIME_S)
            for subject in (daemon, "targets")
        )

    for figure in site.pause_oracle.figures(daemons.get, is_disturbed):
        if figure.most_arrivals > ARRIVALS_IN_PAUSE_ALLOWED:
            yield (
                f"{figure.most_arrivals} requests within a pause: {figure.engine}, "
                f"{figure.daemon}"
            )
