"""Execution of a call of a plain service, with retries."""

import asyncio
import secrets

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.daemon import now
from cowslipcourse.exceptions import (
    AdmissionError,
    DeadlinePassed,
    DeadlineWhileRunning,
    NoTargetAvailable,
    OutcomeUnknown,
    TargetError,
    TargetRefused,
    TargetUnreachable,
)
from cowslipcourse.requests import Completed

__all__ = ["ServiceCall"]

ATTEMPT_ID_BYTES = 6
NO_TARGET_RETRY_AFTER_S = 2.0

log = get_logger(__name__)


class ServiceCall:
    """Runs one operation of a plain service.

    A call that may not be repeated is sent again only if the previous attempt was
    provably not run: nothing was sent, or the target refused before it started.

    :param service: service name.
    :param operation: operation name.
    :param body: request body.
    :param repeatable: whether the call may run more than once.
    :param deadline: loop time, or ``None``.
    :param context: :class:`~cowslipcourse.gateway.context.GatewayContext`
    """

    def __init__(self, service, operation, body, repeatable, deadline, context):
        self._service = service
        self._operation = operation
        self._body = body
        self._repeatable = repeatable
        self._deadline = deadline
        self._context = context
        self._tried_vms = set()
        self._vm = ""
        self._may_have_run_before = False
        self._may_have_run = False

    async def run(self):
        """Run the call and return :class:`~cowslipcourse.requests.Completed`.

        :raises RequestError: the call was not run, or may have run.
        """
        try:
            async with asyncio.timeout_at(self._deadline):
                return await self._run_attempts()
        except AdmissionError as error:
            if not self._may_have_run:
                raise
            raise OutcomeUnknown(error.detail, NO_TARGET_RETRY_AFTER_S) from error
        except TimeoutError:
            if self._may_have_run:
                raise DeadlineWhileRunning("the deadline has passed", 1.0) from None
            raise DeadlinePassed("the deadline has passed", 1.0) from None

    async def _run_attempts(self):
        context = self._context
        context.retry_budget.record_request()
        for attempt_number in range(context.settings.limits.attempts):
            if attempt_number and not context.retry_budget.try_take():
                break
            try:
                return await self._run_attempt()
            except TargetError as error:
                log.info(
                    "call-failed", service=self._service, vm=self._vm, code=error.code
                )
                if self._record_failed_attempt(error) and not self._repeatable:
                    raise OutcomeUnknown(error.detail) from error
        raise NoTargetAvailable("no attempt got a response", NO_TARGET_RETRY_AFTER_S)

    def _record_failed_attempt(self, error):
        """Record a failed attempt; return whether it may have run."""
        if isinstance(error, TargetRefused):
            self._context.fleet_view.record_refusal(self._vm)
            self._may_have_run = self._may_have_run_before
            return False
        if isinstance(error, TargetUnreachable) and not error.sent:
            self._context.fleet_view.record_refusal(self._vm)
            self._may_have_run = self._may_have_run_before
            return False
        return True

    async def _run_attempt(self):
        context = self._context
        report = self._choose_target()
        self._vm = report.vm
        self._tried_vms.add(report.vm)
        attempt_id = secrets.token_hex(ATTEMPT_ID_BYTES)
        self._may_have_run_before = self._may_have_run
        context.agent.require_serving()
        # Nothing is awaited between the check and the send.
        started_at = context.chooser.in_flight.start(report.vm, now())
        self._may_have_run = True
        try:
            response = await context.targets.call(
                report.address, self._operation, attempt_id, self._body
            )
        finally:
            context.chooser.in_flight.finish(report.vm, started_at)
        return Completed(response.status, response.content_type, response.body)

    def _choose_target(self):
        grants = self._context.fleet_view.service_grants(self._service)
        reports = [grant.report for grant in grants]
        untried = [report for report in reports if report.vm not in self._tried_vms]
        if not reports or not (untried or self._repeatable):
            raise NoTargetAvailable(
                "no target serves this operation now", NO_TARGET_RETRY_AFTER_S
            )
        in_flight = self._context.chooser.in_flight
        min_in_flight = min(in_flight.count(report.vm) for report in untried or reports)
        least_loaded = [
            r for r in untried or reports if in_flight.count(r.vm) == min_in_flight
        ]
        return self._context.rng.choice(least_loaded)
