"""Send a request to one target after another where that is safe and useful."""

import asyncio
from typing import NamedTuple

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.admission.failure_attribution import LossCause, TargetChoice
from cowslipcourse.entry.attempt_outcomes import (
    final_error,
    may_have_arrived,
    may_have_run,
    may_retry,
    may_run_again,
)
from cowslipcourse.entry.attempts import TargetRun
from cowslipcourse.entry.concurrent_attempts import ConcurrentAttempts, RequestRepeats
from cowslipcourse.exceptions import (
    AttemptSuperseded,
    GatewayDraining,
    RelayRefused,
    TargetError,
    TargetUnreachable,
    TargetWithheld,
)

__all__ = ["Delivery", "try_targets"]

RELAY_RETRY_AFTER_S = 0.5
"""Retry-After of a relayed request that this daemon cannot send on; the daemon that has
relayed it asks another one at once."""
HEDGE_RETRY_INTERVAL_S = 0.25
"""Interval at which a target is sought again for a request whose targets are silent."""

log = get_logger(__name__)


class Delivery(NamedTuple):
    """How a request was answered.

    :param entry: :class:`~cowslipcourse.ports.TargetEntry` that responded, or the
        :class:`~cowslipcourse.entry.attempts.RelayPeer`.
    :param attempts: number of times that it was sent to a target.
    :param withheld: number of times that it was not sent to a chosen target.
    """

    entry: object
    attempts: int
    withheld: int


async def try_targets(context, call, service, choose, attempt):
    """Send a call to one target after another until an attempt succeeds.

    While its targets are silent, it is sent to another one if it may run there; the
    first one that has something to deliver ends the other attempts.

    :param context: :class:`~cowslipcourse.entry.context.DaemonContext`
    :param call: :class:`~cowslipcourse.entry.calls.Call`
    :param service: name of the service.
    :param choose: coroutine function that takes the ids of tried targets and returns a
        :class:`~cowslipcourse.admission.failure_attribution.TargetChoice`.
    :param attempt: coroutine function that takes the
        :class:`~cowslipcourse.entry.attempts.TargetRun` and whether this is the last
        allowed attempt; raises :class:`~cowslipcourse.exceptions.TargetError`. It calls
        ``run.supersede_rivals`` before it sends anything to the caller.
    :returns: :class:`Delivery`
    :raises RequestError: no attempt succeeded.
    """
    attempts = _RequestAttempts(context, call, service, choose, attempt)
    with context.stop.tracking(attempts):
        return await attempts.run()


class _RequestAttempts:
    """Attempts at one request. For the parameters see :func:`try_targets`.

    It implements :class:`~cowslipcourse.entry.graceful_stop.StoppableRequest`.
    """

    def __init__(self, context, call, service, choose, attempt):
        self._context = context
        self._call = call
        self._service = service
        self._choose_target = choose
        self._attempt = attempt
        self._running = ConcurrentAttempts(call.id, context.count_hedge)
        self._repeats = RequestRepeats(context.retry_budget, service)
        self._tried_ids = set()
        self._attempts = 0
        self._possible_runs = 0
        self._is_recorded = False
        self._withheld = 0
        self._next_hedge_at = 0.0
        self._failure = None
        self._retry_delay_s = 0.0

    @property
    def call(self):
        """See :class:`~cowslipcourse.entry.graceful_stop.StoppableRequest`."""
        return self._call

    @property
    def may_have_run(self):
        """See :class:`~cowslipcourse.entry.graceful_stop.StoppableRequest`."""
        return self._possible_runs > 0 or self._running.have_sent

    @property
    def _has_spent_relay(self):
        """Whether it was sent to a target for another daemon.

        That daemon counts its next attempt as the first arrival, so it must not send
        the request to another relay.
        """
        return self._call.caller_headers.is_relayed and self._attempts > 0

    def wake(self):
        """See :class:`~cowslipcourse.entry.graceful_stop.StoppableRequest`."""
        self._running.wake()

    async def run(self):
        """Make attempts until one succeeds; see :func:`try_targets`."""
        self._running.start(self._send_to_next(is_hedge=False))
        try:
            while True:
                ended = await self._running.wait(self._hedge_wait_s())
                outcomes = [self._outcome(task) for task in ended]
                for outcome in outcomes:
                    if isinstance(outcome, Delivery):
                        return outcome
                ending_error = self._ending_error()
                if ending_error is not None:
                    raise ending_error
                if not len(self._running):
                    self._retry(outcomes)
                    continue
                if any(isinstance(outcome, TargetChoice) for outcome in outcomes):
                    now = asyncio.get_running_loop().time()
                    self._next_hedge_at = now + HEDGE_RETRY_INTERVAL_S
                if self._hedge_wait_s() == 0.0:
                    self._running.start(self._send_to_next(is_hedge=True))
        finally:
            await self._running.stop()
            self._repeats.end()

    def _ending_error(self):
        """Return the error with which a stop of this daemon ends it, or ``None``."""
        error = self._context.stop.ending_error(self)
        if isinstance(error, GatewayDraining) and self._has_spent_relay:
            return final_error(self._possible_runs, error.code)
        return error

    def _hedge_wait_s(self):
        """Return the seconds until a hedge may be sent, or ``None`` for never."""
        possible_runs = self._possible_runs + len(self._running)
        if not self._running.are_silent or not may_run_again(
            self._call.route, possible_runs
        ):
            return None
        return max(0.0, self._next_hedge_at - asyncio.get_running_loop().time())

    def _outcome(self, task):
        """Return the outcome of an attempt that has ended.

        :returns: :class:`Delivery`, the :class:`TargetChoice` of one that found no
            target, or ``None`` of one that failed or was superseded.
        """
        if task.cancelled():
            return None
        error = task.exception()
        if not isinstance(error, TargetError):
            return task.result()
        if not isinstance(error, AttemptSuperseded):
            self._failure = error
        return None

    def _retry(self, outcomes):
        """Start the next attempt after the last one has ended.

        :param outcomes: outcomes of the attempts that have ended.
        :raises RequestError: there is no other attempt.
        """
        for outcome in outcomes:
            if outcome is not None:
                raise _no_target_error(outcome, self._possible_runs)
        error = self._failure
        if not may_retry(self._call.route, self._possible_runs, error):
            raise final_error(self._possible_runs, error.code) from error
        if not self._is_within_budget(error):
            cause = LossCause.NO_RETRY_BUDGET
            raise final_error(self._possible_runs, cause) from error
        self._running.start(self._send_later())

    async def _send_later(self):
        """Send the request to the next target once the exit of the last one is known.

        :returns: see :meth:`_send_to_next`.
        """
        await asyncio.sleep(self._retry_delay_s)
        return await self._send_to_next(is_hedge=False)

    def _is_within_budget(self, error):
        """Whether another attempt is allowed.

        While the links are lost, a request that has arrived at no target is relayed for
        free.

        :param error: error of the last attempt.
        """
        if not self._context.reachability.is_reachable and not may_have_arrived(error):
            self._record_retry("free", is_hedge=False)
            return True
        return self._take_retry(is_hedge=False)

    def _take_retry(self, is_hedge):
        now = asyncio.get_running_loop().time()
        is_taken = self._repeats.try_take(now, is_hedge)
        self._record_retry("taken" if is_taken else "refused", is_hedge)
        return is_taken

    def _record_retry(self, outcome, is_hedge):
        """Log and count whether a retry was allowed.

        :param outcome: ``"taken"`` from the budget, ``"refused"`` or ``"free"``.
        :param is_hedge: whether it is sent beside an attempt at a silent target.
        """
        now = asyncio.get_running_loop().time()
        budget = self._context.retry_budget
        self._context.count_retry(self._service, outcome)
        log.info(
            "retry",
            request=self._call.id,
            service=self._service,
            outcome=outcome,
            is_hedge=is_hedge,
            is_relayed=self._call.caller_headers.is_relayed,
            daemons=budget.daemon_count,
            saved=round(budget.saved_retries(self._service, now), 2),
            unread=budget.unread_retries(self._service, now),
        )

    async def _send_to_next(self, is_hedge):
        """Send the request to the next target.

        :param is_hedge: whether the targets of the other attempts are silent; a retry
            is then taken from the budget once a target has been found.
        :returns: :class:`Delivery`, or the :class:`TargetChoice` without a target.
        :raises TargetError: the attempt failed.
        """
        needs_retry = is_hedge
        if is_hedge and self._context.quarantine.is_on_trial(self._call):
            return TargetChoice(None)
        while True:
            choice = await self._choose()
            entry = choice.entry
            if entry is None:
                return choice
            if needs_retry and not self._take_retry(is_hedge):
                return TargetChoice(None, LossCause.NO_RETRY_BUDGET)
            needs_retry = False
            self._tried_ids.add(entry.id)
            self._attempts += 1
            is_retry = self._possible_runs > 0 and not is_hedge
            run = TargetRun(entry, self._running, is_hedge, is_retry)
            run.configuration_version = self._context.configuration_version
            self._running.set_run(run)
            self._repeats.add_send(run)
            try:
                await self._run_at_target(run)
            except TargetWithheld:
                # The target is not chosen again before it may accept a request.
                self._tried_ids.discard(entry.id)
                self._attempts -= 1
                self._running.set_run(None)
                self._withheld += 1
                self._context.count_withheld(self._service)
                continue
            return Delivery(entry, self._attempts, self._withheld)

    async def _choose(self):
        """Return the :class:`TargetChoice` unless the request must not be sent."""
        if self._is_refused():
            return self._quarantine_refusal()
        refusal = self._ending_error()
        if refusal is not None:
            return TargetChoice(None, refusal=refusal)
        choice = await self._choose_reachable()
        # The request may have been quarantined while it waited for a free slot.
        if choice.entry is not None and self._is_refused():
            return self._quarantine_refusal()
        return choice

    async def _choose_reachable(self):
        """Choose a target, or a relay while this daemon reaches no targets.

        Without a relay that may serve it, the request is tried over the own links.
        """
        context = self._context
        if context.reachability.is_reachable:
            self._set_recorded(True)
            return await self._choose_target(self._tried_ids)
        if self._call.caller_headers.is_relayed:
            if self._has_spent_relay:
                return TargetChoice(None)
            refusal = RelayRefused(
                "this daemon reaches no targets", RELAY_RETRY_AFTER_S
            )
            return TargetChoice(None, refusal=refusal)
        peer = context.relays.choose(self._tried_ids)
        if peer is None:
            return await self._choose_target(self._tried_ids)
        self._set_recorded(False)
        return TargetChoice(peer)

    def _set_recorded(self, is_recorded):
        """Record the request in the retry budget, or withdraw it.

        A daemon that relays the request records it.
        """
        if is_recorded == self._is_recorded:
            return
        self._is_recorded = is_recorded
        now = asyncio.get_running_loop().time()
        budget = self._context.retry_budget
        if is_recorded:
            budget.record_request(self._service, now)
        else:
            budget.withdraw_request(self._service, now)

    def _is_refused(self):
        return self._context.quarantine.is_refused(self._call)

    def _quarantine_refusal(self):
        refusal = self._context.quarantine.refusal(self._call)
        return TargetChoice(None, refusal=refusal)

    async def _run_at_target(self, run):
        """Make one attempt and record how it ended.

        :raises TargetError: it failed.
        """
        context, call = self._context, self._call
        possible_runs = self._possible_runs + len(self._running)
        is_last = possible_runs >= call.route.max_attempts
        try:
            with context.quarantine.tracking(call, run):
                await self._attempt(run, is_last)
        except TargetWithheld:
            raise
        except TargetError as error:
            self._possible_runs += may_have_run(error)
            if run.is_superseded:
                # Its target has not failed, so a later attempt may go there again.
                self._tried_ids.discard(run.entry.id)
                raise
            self._record_failure(run, error)
            if not run.is_relayed:
                self._retry_delay_s = context.quarantine.retry_delay_s(call, run)
                if isinstance(error, TargetUnreachable):
                    await context.reachability.confirm()
            raise
        finally:
            if not run.may_arrive:
                self._repeats.remove_send(run)
        if run.succeeded:
            context.quarantine.record_answered(call, run)

    def _record_failure(self, run, error):
        context, call = self._context, self._call
        now = asyncio.get_running_loop().time()
        if run.is_relayed:
            # A relay that has begun to answer passes on the end of its target.
            if not run.answer_started:
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
            reason=error.reason,
            detail=error,
            may_have_run=may_have_run(error),
            is_hedge=run.is_hedge,
            begun=run.answer_started,
            events=run.relayed_events,
            ended_by_target=run.ended_by_target,
            ends_with_connection=run.ends_with_connection,
            pause_left_s=_pause_left_s(context, run),
            reaches_targets=context.reachability.is_reachable,
            configuration=run.configuration_version,
            configuration_now=context.configuration_version,
            own_late_s=round(context.silence_detector.own_late_s, 3),
        )
        if not run.is_relayed:
            context.quarantine.record_failed(call, run)


def _no_target_error(choice, possible_runs):
    """Return the error for the caller of a request that found no target.

    :param choice: :class:`TargetChoice` without a target.
    :param possible_runs: attempts in which the request may have run.
    """
    if choice.refusal is not None and not possible_runs:
        return choice.refusal
    return final_error(possible_runs, choice.cause, choice.retry_after_s)


def _pause_left_s(context, run):
    if run.is_relayed:
        return 0.0
    return round(context.conditions.pause_left_s(run.entry), 3)
