"""One model request at one gateway, over as many attempts as it takes."""

import asyncio
import secrets
from contextlib import aclosing

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.daemon import now
from cowslipcourse.exceptions import (
    AdmissionError,
    DeadlinePassed,
    MalformedResponse,
    NoTargetAvailable,
    OutcomeUnknown,
    RequestFailed,
    TargetError,
    TargetRefused,
    TargetUnreachable,
)
from cowslipcourse.gateway.quarantine_ports import GroupLeader, GroupRun, QuarantineCall
from cowslipcourse.ports import GenerateRequest
from cowslipcourse.quarantine import fingerprint
from cowslipcourse.requests import StreamRelay

__all__ = ["Generation"]

ATTEMPT_BYTES = 6
RETRY_S = 1.0
BACKOFF_S = 0.05
PATH = b"chat"
"""Stands for the path in the fingerprint: all model requests come at one."""

log = get_logger(__name__)


class Generation:
    """Runs one model request and yields its answer.

    An answer that breaks is resumed at its next token, at another group if it must
    be, as long as the request may be repeated and the retry budget allows it.

    :param call: :class:`~cowslipcourse.gateway.callers.Call`
    :param body: caller's body.
    :param declarations: names of the group declarations that may serve it.
    :param context: :class:`~cowslipcourse.gateway.tools.GatewayContext`
    :ivar attempted_groups: groups that were sent the request, in order.
    :ivar used_attempts: ids of the attempts whose events were used.
    """

    def __init__(self, call, body, declarations, context):
        self._call = call
        self._body = body
        self._declarations = declarations
        self._context = context
        self._hashes = context.chooser.prefix_hashes(body)
        self._suspect = QuarantineCall(
            call.request_id, fingerprint(call.workspace, PATH, body)
        )
        self._run = None
        self._relay = StreamRelay()
        self._tried = set()
        self._started = False
        self._group = ""
        self.attempted_groups = []
        self.used_attempts = []

    @property
    def complete(self):
        """Whether the whole answer has been yielded."""
        return self._relay.complete

    async def chunks(self):
        """Yield the answer as pieces of server-sent events.

        :raises RequestError: the answer is not complete and will not be.
        """
        quarantine = self._context.quarantine
        await quarantine.admit(self._suspect)
        try:
            async with aclosing(self._attempts()) as pieces:
                async for piece in pieces:
                    yield piece
        finally:
            quarantine.record_finished(self._suspect)

    async def _attempts(self):
        attempts = self._context.settings.limits.attempts
        self._context.retry_budget.record_request()
        self._context.resume_budget.record_request()
        for number in range(attempts):
            if number:
                await self._before_retry(number)
            try:
                self._call.remaining_s()
                async with aclosing(self._attempt()) as pieces:
                    async for piece in pieces:
                        yield piece
            except (AdmissionError, DeadlinePassed) as error:
                if not self._started:
                    raise
                raise self._final(error) from error
            except TargetError as error:
                self._note_failure(error)
                if not self._may_repeat(error) or number == attempts - 1:
                    raise self._final(error) from error
                continue
            self._context.quarantine.record_answered(self._suspect)
            return

    async def _before_retry(self, number):
        self._check_quarantine()
        budget = (
            self._context.resume_budget
            if self._relay.offset
            else self._context.retry_budget
        )
        if not budget.try_take():
            raise self._final(NoTargetAvailable("the retry budget is spent"))
        self._context.metrics.count("retries")
        await asyncio.sleep(BACKOFF_S * number * self._context.rng.random())
        self._check_quarantine()

    def _check_quarantine(self):
        quarantine = self._context.quarantine
        if quarantine.is_quarantined(self._suspect):
            refusal = quarantine.refusal(self._suspect)
            raise self._final(refusal, refusal.retry_after_s)

    async def _attempt(self):
        context = self._context
        spec = context.chooser.choose(self._declarations, self._hashes, self._tried)
        attempt_id = secrets.token_hex(ATTEMPT_BYTES)
        self._group = spec.group
        self._run = self._make_run(spec, attempt_id)
        request = GenerateRequest(
            self._call.request_id,
            attempt_id,
            spec.group,
            spec.epoch,
            int(self._call.priority),
            self._relay.offset,
            self._body,
        )
        started_at = context.chooser.in_flight.start(spec.group, now())
        ended = False
        try:
            # Nothing is awaited between these checks and the send.
            if not context.fleet_view.is_granted(spec) or not context.agent.may_serve():
                raise TargetRefused("grant-lapsed")
            checked_at, granted_at = now(), context.fleet_view.granted_at(spec)
            self.attempted_groups.append(spec.group)
            batches = context.targets.generate(spec.leader.address, request)
            with context.quarantine.tracking(self._suspect, self._run):
                async with aclosing(batches):
                    async for events in batches:
                        if not events:
                            self._run.answer_started = True
                            continue
                        if attempt_id not in self.used_attempts:
                            self._begin(spec, attempt_id, granted_at, checked_at)
                        piece = self._relay.filter_events(attempt_id, events)
                        self._run.note_events(len(events), self._relay.offset)
                        if piece:
                            yield piece
                        self._relay.raise_for_malformed()
            ended = True
            if not self._relay.complete:
                raise TargetUnreachable("the stream ended without its end event")
        finally:
            context.chooser.in_flight.finish(spec.group, started_at)
            if not ended:
                context.spawn(context.targets.cancel(spec.leader.address, attempt_id))

    def _begin(self, spec, attempt_id, granted_at, checked_at):
        """Note that events of an attempt have come.

        :raises TargetUnreachable: it was sent after the grant's end.
        """
        self._started = True
        if not self._context.fleet_view.was_sent_under_grant(
            spec, granted_at, checked_at
        ):
            raise TargetUnreachable("sent after the grant's end")
        self.used_attempts.append(attempt_id)

    def _make_run(self, spec, attempt_id):
        address = spec.leader.address
        leader = GroupLeader(spec.leader.vm, spec.epoch, address)

        def cancel():
            self._context.spawn(self._context.targets.cancel(address, attempt_id))

        run = GroupRun(leader, self._relay.offset, cancel)
        # Whoever is alone at an engine does not wait there for others to end.
        run.answer_started = self._is_alone_at(spec.group)
        return run

    def _is_alone_at(self, group):
        in_flight, _ = self._context.fleet_view.peers_in_flight()
        return not (
            in_flight.get(group) or self._context.chooser.in_flight.count(group)
        )

    def _note_failure(self, error):
        self._tried.add(self._group)
        self._run.ended_by_target = isinstance(error, TargetUnreachable) and error.sent
        self._context.quarantine.record_failed(self._suspect, self._run)
        self._started = self._started or _may_have_started(error)
        if isinstance(error, TargetRefused):
            if error.reason != "grant-lapsed":
                self._context.fleet_view.record_refusal(self._group)
        else:
            self._context.chooser.forget_cached_prefixes(self._group)
        log.info(
            "attempt-failed",
            request=self._call.request_id,
            group=self._group,
            code=error.code,
            detail=error.detail,
            offset=self._relay.offset,
        )

    def _may_repeat(self, error):
        if isinstance(error, TargetRefused):
            return True
        if isinstance(error, TargetUnreachable) and not error.sent:
            return True
        return self._call.repeatable is not False

    def _final(self, error, retry_s=RETRY_S):
        """Return the error that the caller is told."""
        if not self._started:
            return NoTargetAvailable(error.detail, retry_s)
        if self._relay.offset:
            return RequestFailed(f"the answer broke off: {error.detail}", retry_s)
        return OutcomeUnknown(error.detail, retry_s)


def _may_have_started(error):
    """Whether an engine may have begun an attempt that failed."""
    if isinstance(error, TargetUnreachable):
        return error.sent
    return isinstance(error, MalformedResponse)
