"""Forward requests that get a single response instead of a stream."""

import asyncio

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.admission.failure_attribution import TargetChoice
from cowslipcourse.admission.no_target import no_target_choice
from cowslipcourse.entry.attempt_outcomes import NOT_EXECUTED_STATUSES
from cowslipcourse.entry.retries import try_targets
from cowslipcourse.exceptions import IncompleteResponse, TargetError, TargetRefused
from cowslipcourse.load_balancing.target_selection import NO_SIZE, choose_target
from cowslipcourse.platform.headers import is_not_executed, response_headers

__all__ = ["UnaryForwarder"]

MIN_FAILURE_STATUS = 300

log = get_logger(__name__)


class UnaryForwarder:
    """Forwards requests to services without engine groups.

    :param context: :class:`~cowslipcourse.entry.context.DaemonContext`
    """

    def __init__(self, context):
        self._context = context

    async def forward(self, call, service, responder):
        """See :meth:`cowslipcourse.entry.forwarder.Forwarder.forward`."""

        async def choose(tried_ids):
            return self._choose(service, tried_ids, call.caller_headers.size)

        async def attempt(run, is_last):
            nonlocal head, observed
            with self._context.holding_answers() as hold:
                head, body, observed = await self._attempt(call, run, is_last, hold)
                run.supersede_rivals()
                await responder.start(head.status, response_headers(head.headers))
                await responder.finish(body)

        head, observed = None, None
        delivery = await try_targets(self._context, call, service, choose, attempt)
        _log_completion(call, delivery, head, observed)

    def _choose(self, service, tried_ids, size=NO_SIZE):
        now = asyncio.get_running_loop().time()
        candidates = self._context.fleet.service_candidates(service, now, tried_ids)
        candidate = choose_target(
            self._context.conditions.usable(candidates, now),
            tried_ids,
            self._context.data_centre,
            self._context.rng,
            cost=self._context.placing.cost,
            size=size,
            now=now,
        )
        if candidate is None:
            return no_target_choice(
                self._context.conditions, self._context.rng, candidates, tried_ids, now
            )
        return TargetChoice(candidate.entry)

    async def _attempt(self, call, run, is_last, hold):
        async with self._context.open_attempt(call, run) as attempt:
            # Nothing precedes the response, so the request may be running already.
            run.answer_started = True
            try:
                with self._context.observing(call, run) as observed:
                    head, body = await _read_answer(attempt, observed, hold)
            except (TargetError, asyncio.CancelledError):
                attempt.connection.abort()
                raise
        if not run.is_relayed:
            may_repeat = call.route.is_retryable and not is_last
            _check_status(head, may_repeat or run.has_rivals)
        run.succeeded = head.status < MIN_FAILURE_STATUS
        return head, body, observed


async def _read_answer(attempt, observed, hold):
    """Return head and body of a response.

    :param observed: observation of the request that is told of a successful answer.
    :param hold: :class:`~cowslipcourse.http_framing.AnswerHold` of the body.
    """
    head = await attempt.read_head()
    if is_not_executed(head):
        raise TargetRefused(f"answered {head.status}")
    body = await attempt.connection.read_all(hold)
    await attempt.confirm_end()
    if head.status < MIN_FAILURE_STATUS:
        observed.record_answer(asyncio.get_running_loop().time())
    return head, body


def _check_status(head, may_repeat):
    """Check that the response of a target may be forwarded to the caller.

    :param may_repeat: whether another target may answer the request instead.
    :raises IncompleteResponse: it may not.
    """
    if head.status >= 500 and may_repeat:
        raise IncompleteResponse(f"answered {head.status}")
    if head.status in NOT_EXECUTED_STATUSES:
        raise IncompleteResponse(
            f"answered {head.status} without proof that it did not run"
        )


def _log_completion(call, delivery, head, observed):
    now = asyncio.get_running_loop().time()
    log.info(
        "answered",
        request=call.id,
        route=call.route.name,
        target=delivery.entry.id,
        status=head.status,
        attempts=delivery.attempts,
        withheld=delivery.withheld,
        seconds=round(now - call.arrived_at, 3),
        **observed.log_fields(),
    )
