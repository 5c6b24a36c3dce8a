"""Execution of a model request, with retries and resumption of its response."""

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
from cowslipcourse.gateway.chat_body import message_ids, parse_chat_body
from cowslipcourse.gateway.quarantine_adapters import (
    GroupLeader,
    GroupRun,
    QuarantineCall,
)
from cowslipcourse.ports import GenerateRequest
from cowslipcourse.quarantine import fingerprint, part_fingerprints
from cowslipcourse.requests import StreamRelay

__all__ = ["Generation"]

ATTEMPT_ID_BYTES = 6
RETRY_AFTER_S = 1.0
MAX_RETRY_BACKOFF_STEP_S = 0.05
FINGERPRINT_PATH = b"chat"
"""Path in the fingerprint: all model requests arrive at the same one."""

log = get_logger(__name__)


class Generation:
    """Runs one model request and yields its response.

    A response that breaks off is resumed at its next token, preferably at another
    group, if the request is repeatable and the retry budget allows it.

    :param call: :class:`~cowslipcourse.gateway.callers.Call`
    :param body: body that the caller sent.
    :param declarations: names of the group declarations that may serve it.
    :param context: :class:`~cowslipcourse.gateway.context.GatewayContext`
    :ivar attempted_groups: ids of the groups that were sent the request, in order.
    :ivar used_attempts: ids of the attempts whose events were used.
    """

    def __init__(self, call, body, declarations, context):
        self._call = call
        self._body = body
        self._declarations = declarations
        self._context = context
        self._prompt_hashes = context.chooser.prefix_hashes(body)
        parsed = parse_chat_body(body)
        self._quarantine_call = QuarantineCall(
            call.request_id,
            fingerprint(call.workspace, FINGERPRINT_PATH, body),
            part_fingerprints(parsed.model, message_ids(parsed.messages)),
        )
        self._group_run = None
        self._relay = StreamRelay()
        self._tried_groups = set()
        self._attempts_left = context.settings.limits.attempts
        self._may_have_started = False
        self._group = ""
        self.attempted_groups = []
        self.used_attempts = []

    @property
    def complete(self):
        """Whether the complete response has been yielded."""
        return self._relay.complete

    async def chunks(self):
        """Yield the response as chunks, each one or more server-sent events.

        :raises RequestError: the response cannot be completed.
        """
        quarantine = self._context.quarantine
        await quarantine.admit(self._quarantine_call)
        try:
            async with aclosing(self._run_attempts()) as chunks:
                async for chunk in chunks:
                    yield chunk
        finally:
            quarantine.record_finished(self._quarantine_call)

    async def _run_attempts(self):
        max_attempts = self._context.settings.limits.attempts
        self._context.retry_budget.record_request()
        self._context.resume_budget.record_request()
        for attempt_number in range(max_attempts):
            if attempt_number:
                await self._prepare_retry(attempt_number)
            self._attempts_left -= 1
            try:
                self._call.remaining_s()
                async with aclosing(self._run_attempt()) as chunks:
                    async for chunk in chunks:
                        yield chunk
            except (AdmissionError, DeadlinePassed) as error:
                if not self._may_have_started:
                    raise
                raise self._caller_error(error) from error
            except TargetError as error:
                self._record_failure(error)
                if not self._may_repeat(error) or attempt_number == max_attempts - 1:
                    raise self._caller_error(error) from error
                continue
            self._context.quarantine.record_answered(
                self._quarantine_call, self._group_run
            )
            return

    async def _prepare_retry(self, attempt_number):
        self._check_quarantine()
        if not self._retry_budget().try_take():
            raise self._caller_error(NoTargetAvailable("the retry budget is exhausted"))
        self._context.metrics.count("retries")
        await asyncio.sleep(
            MAX_RETRY_BACKOFF_STEP_S * attempt_number * self._context.rng.random()
        )
        self._check_quarantine()

    def _retry_budget(self):
        """Return the budget that the next attempt is charged to."""
        context = self._context
        return context.resume_budget if self._relay.offset else context.retry_budget

    def _may_abandon(self, spec):
        """Whether a silent attempt is given up.

        A silent group may only be slow: the attempt goes on unless the group has lost
        its grant or another attempt may follow.

        :param spec: :class:`~cowslipcourse.fleet.GroupSpec` of the group.
        """
        if not self._context.fleet_view.is_granted(spec):
            return True
        is_repeatable = self._call.repeatable is not False
        has_budget = self._retry_budget().tokens >= 1.0
        return is_repeatable and self._attempts_left > 0 and has_budget

    def _check_quarantine(self):
        quarantine = self._context.quarantine
        if quarantine.is_refused(self._quarantine_call):
            refusal = quarantine.refusal(self._quarantine_call)
            raise self._caller_error(refusal, refusal.retry_after_s)

    async def _run_attempt(self):
        context = self._context
        spec = context.chooser.choose(
            self._declarations, self._prompt_hashes, self._tried_groups
        )
        attempt_id = secrets.token_hex(ATTEMPT_ID_BYTES)
        self._group = spec.group
        self._group_run = self._create_group_run(spec, attempt_id)
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
        stream_ended = False
        try:
            # Nothing is awaited between these checks and the send.
            if not context.fleet_view.is_granted(spec) or not context.agent.may_serve():
                raise TargetRefused("grant-lapsed")
            checked_at, granted_at = now(), context.fleet_view.granted_at(spec)
            self.attempted_groups.append(spec.group)
            event_batches = context.targets.generate(
                spec.leader.address, request, lambda: self._may_abandon(spec)
            )
            with context.quarantine.tracking(self._quarantine_call, self._group_run):
                async with aclosing(event_batches):
                    async for events in event_batches:
                        if not events:
                            self._group_run.answer_started = True
                            continue
                        if attempt_id not in self.used_attempts:
                            self._record_response_start(
                                spec, attempt_id, granted_at, checked_at
                            )
                        chunk = self._relay.filter_events(attempt_id, events)
                        self._group_run.record_events(len(events), self._relay.offset)
                        if chunk:
                            yield chunk
                        self._relay.raise_for_malformed()
            stream_ended = True
            if not self._relay.complete:
                raise TargetUnreachable("the stream ended without its end event")
        finally:
            context.chooser.in_flight.finish(spec.group, started_at)
            if not stream_ended:
                context.spawn(context.targets.cancel(spec.leader.address, attempt_id))

    def _record_response_start(self, spec, attempt_id, granted_at, checked_at):
        """Record that the first events of an attempt have been received.

        :raises TargetUnreachable: the attempt was sent after the grant expired.
        """
        self._may_have_started = True
        if not self._context.fleet_view.was_sent_under_grant(
            spec, granted_at, checked_at
        ):
            raise TargetUnreachable("the request was sent after the grant expired")
        self.used_attempts.append(attempt_id)

    def _create_group_run(self, spec, attempt_id):
        address = spec.leader.address
        leader = GroupLeader(spec.leader.vm, spec.epoch, address)

        def cancel():
            self._context.spawn(self._context.targets.cancel(address, attempt_id))

        is_retry = bool(self.attempted_groups)
        group_run = GroupRun(leader, self._relay.offset, cancel, is_retry)
        # A request that is alone at an engine is not queued there behind others.
        group_run.answer_started = self._is_only_request_at(spec.group)
        return group_run

    def _is_only_request_at(self, group):
        in_flight, _ = self._context.fleet_view.peers_in_flight()
        return not (
            in_flight.get(group) or self._context.chooser.in_flight.count(group)
        )

    def _record_failure(self, error):
        self._tried_groups.add(self._group)
        self._group_run.ended_by_target = (
            isinstance(error, TargetUnreachable) and error.sent
        )
        self._context.quarantine.record_failed(self._quarantine_call, self._group_run)
        self._may_have_started = self._may_have_started or _attempt_may_have_started(
            error
        )
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

    def _caller_error(self, error, retry_after_s=RETRY_AFTER_S):
        """Return the error to report to the caller for the error of an attempt."""
        if not self._may_have_started:
            return NoTargetAvailable(error.detail, retry_after_s)
        if self._relay.offset:
            return RequestFailed(
                f"the response broke off: {error.detail}", retry_after_s
            )
        return OutcomeUnknown(error.detail, retry_after_s)


def _attempt_may_have_started(error):
    """Return whether the engine may have started an attempt that failed."""
    if isinstance(error, TargetUnreachable):
        return error.sent
    return isinstance(error, MalformedResponse)
