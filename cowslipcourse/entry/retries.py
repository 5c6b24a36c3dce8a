"""Retry a request at other targets where that is safe and useful."""

import asyncio
from typing import NamedTuple

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.admission.failure_attribution import LossCause, TargetChoice
from cowslipcourse.entry.attempt_outcomes import final_error, may_have_run, may_retry
from cowslipcourse.entry.attempts import TargetRun
from cowslipcourse.exceptions import (
    RelayRefused,
    TargetError,
    TargetUnreachable,
    TargetWithheld,
)

__all__ = ["Delivery", "try_targets"]

RELAY_RETRY_AFTER_S = 0.5
"""Retry-After of a relayed request that this daemon cannot send on; the daemon that has
relayed it asks another one at once."""

log = get_logger(__name__)


class Delivery(NamedTuple):
    """How a request was answered.

    :param entry: :class:`~cowslipcourse.ports.TargetEntry` that responded, or the
        :class:`~cowslipcourse.entry.attempts.RelayPeer`.
    :param attempts: number of targets that it was sent to.
    :param withheld: number of times that it was not sent to a chosen target.
    """

    entry: object
    attempts: int
    withheld: int


async def try_targets(context, call, service, choose, attempt):
    """Send a call to one target after another until an attempt succeeds.

    :param context: :class:`~cowslipcourse.entry.context.DaemonContext`
    :param call: :class:`~cowslipcourse.entry.calls.Call`
    :param service: name of the service.
    :param choose: coroutine function that takes the ids of tried targets and returns a
        :class:`~cowslipcourse.admission.failure_attribution.TargetChoice`.
    :param attempt: coroutine function that takes the
        :class:`~cowslipcourse.entry.attempts.TargetRun` and whether this is the last
        allowed attempt; raises :class:`~cowslipcourse.exceptions.TargetError`.
    :returns: :class:`Delivery`
    :raises RequestError: no attempt succeeded.
    """
    loop = asyncio.get_running_loop()
    tried_ids, possible_runs, withheld = set(), 0, 0
    while True:
        _check_quarantine(context, call, possible_runs)
        choice = await _choose(context, call, choose, tried_ids, possible_runs)
        entry = choice.entry
        if entry is None:
            raise final_error(possible_runs, choice.cause, choice.retry_after_s)
        # The request may have been quarantined while it waited for a free slot.
        _check_quarantine(context, call, possible_runs)
        tried_ids.add(entry.id)
        run = TargetRun(entry)
        is_last = possible_runs + 1 >= call.route.max_attempts
        try:
            with context.quarantine.tracking(call, run):
                await attempt(run, is_last)
        except TargetWithheld:
            # The target is not chosen again before it may accept a request.
            tried_ids.discard(entry.id)
            withheld += 1
            context.count_withheld(service)
            continue
        except TargetError as error:
            possible_runs += may_have_run(error)
            _record_failure(context, call, run, error, loop.time())
            if not may_retry(call.route, possible_runs, error):
                raise final_error(possible_runs, error.code) from error
            if isinstance(error, TargetUnreachable) and not run.is_relayed:
                await context.reachability.confirm()
            if not _is_within_budget(context, service, error, loop.time()):
                raise final_error(possible_runs, LossCause.NO_RETRY_BUDGET) from error
            continue
        if run.succeeded:
            context.quarantine.record_answered(call, run)
        return Delivery(entry, len(tried_ids), withheld)


async def _choose(context, call, choose, tried_ids, possible_runs):
    """Choose a target, or a relay while this daemon reaches no targets.

    Without a relay that may serve it, the request is tried over the own links.
    """
    if context.reachability.is_reachable:
        return await choose(tried_ids)
    if call.caller_headers.is_relayed:
        raise (
            final_error(possible_runs)
            if possible_runs
            else RelayRefused("this daemon reaches no targets", RELAY_RETRY_AFTER_S)
        )
    peer = context.relays.choose(tried_ids)
    return await choose(tried_ids) if peer is None else TargetChoice(peer)


def _is_within_budget(context, service, error, now):
    """Whether another attempt is allowed; a request that was never sent may be relayed.

    :param error: error of the last attempt.
    """
    if not context.reachability.is_reachable and not may_have_run(error):
        return True
    return context.retry_budget.try_take(service, now)


def _check_quarantine(context, call, possible_runs):
    """Refuse a request that crashes its targets before it is sent to another one.

    :param possible_runs: attempts in which it may have run, which decide the error.
    """
    if context.quarantine.is_quarantined(call):
        raise (
            final_error(possible_runs)
            if possible_runs
            else context.quarantine.refusal(call)
        )


def _record_failure(context, call, run, error, now):
    if run.is_relayed:
        context.relays.record_failure(run.entry)
    elif isinstance(error, TargetUnreachable):
        context.fleet.suspect(run.entry.id, now)
    log.info(
        "attempt-failed",
        request=call.id,
        fingerprint=call.fingerprint.hex(),
        parts=",".join(call.caller_headers.prompt_parts),
        target=run.entry.id,
        error=error.code,
        detail=error,
        may_have_run=may_have_run(error),
        begun=run.answer_started,
        events=run.relayed_events,
        ended_by_target=run.ended_by_target,
        ends_with_connection=run.ends_with_connection,
        pause_left_s=_pause_left_s(context, run),
        reaches_targets=context.reachability.is_reachable,
    )
    if not run.is_relayed:
        context.quarantine.record_failed(call, run)


def _pause_left_s(context, run):
    if run.is_relayed:
        return 0.0
    return round(context.conditions.pause_left_s(run.entry), 3)
