"""Retry a request at other targets where that is safe and useful."""

import asyncio
from typing import NamedTuple

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.admission.failure_attribution import LossCause
from cowslipcourse.entry.attempt_outcomes import final_error, may_have_run, may_retry
from cowslipcourse.entry.attempts import TargetRun
from cowslipcourse.exceptions import TargetError, TargetUnreachable, TargetWithheld

__all__ = ["Delivery", "try_targets"]

log = get_logger(__name__)


class Delivery(NamedTuple):
    """How a request was answered.

    :param entry: :class:`~cowslipcourse.ports.TargetEntry` that responded.
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
        choice = await choose(tried_ids)
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
            if not context.retry_budget.try_take(service, loop.time()):
                raise final_error(possible_runs, LossCause.NO_RETRY_BUDGET) from error
            continue
        if run.succeeded:
            context.quarantine.record_answered(call)
        return Delivery(entry, len(tried_ids), withheld)


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
    if isinstance(error, TargetUnreachable):
        context.fleet.suspect(run.entry.id, now)
    log.info(
        "attempt-failed",
        request=call.id,
        fingerprint=call.fingerprint.hex(),
        target=run.entry.id,
        error=error.code,
        detail=error,
        may_have_run=may_have_run(error),
        begun=run.answer_started,
        events=run.relayed_events,
        ended_by_target=run.ended_by_target,
        pause_left_s=round(context.conditions.pause_left_s(run.entry), 3),
        reaches_targets=context.reachability.is_reachable,
    )
    context.quarantine.record_failed(call, run)
