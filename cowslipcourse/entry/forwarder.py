"""Forward requests to targets, with retries where they are safe and useful."""

import asyncio

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.admission.prior_wait import PriorWaitEstimator
from cowslipcourse.entry.stream_forwarder import StreamForwarder
from cowslipcourse.entry.unary_forwarder import UnaryForwarder
from cowslipcourse.exceptions import DeadlineWhileRunning
from cowslipcourse.quarantine import part_fingerprints
from cowslipcourse.routes import RequestKind

__all__ = ["Forwarder"]

log = get_logger(__name__)


class Forwarder:
    """Forwards calls to targets and relays the responses, within their deadlines.

    :param context: :class:`~cowslipcourse.entry.context.DaemonContext`
    """

    def __init__(self, context):
        self._context = context
        self._unary_forwarder = UnaryForwarder(context)
        self._stream_forwarder = StreamForwarder(context)
        self._prior_waits = PriorWaitEstimator()

    async def forward(self, call, responder):
        """Forward a call to a target and relay the response to the caller.

        :param call: :class:`~cowslipcourse.entry.calls.Call`
        :param responder: :class:`~cowslipcourse.entry.calls.Responder`
        :raises RequestError: error to be returned to the caller instead of a response.
        """
        loop = asyncio.get_running_loop()
        waited_elsewhere_s = self._prior_waits.observe(
            call.route, call.caller_headers.time_budget_s
        )
        service = self._context.choose_service(call.route)
        self._context.table.check_service(service)
        is_stream = call.route.kind is RequestKind.STREAMING
        answers = self._context.answers
        call = call._replace(
            waited_elsewhere_s=waited_elsewhere_s,
            part_fingerprints=part_fingerprints(
                service, call.caller_headers.prompt_parts
            ),
            max_response_bytes=answers.max_stream_bytes
            if is_stream
            else answers.max_bytes,
        )
        forwarder = self._stream_forwarder if is_stream else self._unary_forwarder
        try:
            async with asyncio.timeout_at(call.deadline):
                # Repeats of a request that crashes its targets arrive at any daemon.
                # When each repeat was sent to two targets, two such requests ended 17
                # and 23 targets.
                async with self._context.stop.before_sending():
                    await self._context.quarantine.admit(call)
                await forwarder.forward(call, service, responder)
        except TimeoutError as error:
            waited_s = round(loop.time() - call.arrived_at, 3)
            log.info("deadline", request=call.id, seconds=waited_s)
            raise DeadlineWhileRunning(
                "no complete response before the deadline"
            ) from error
        finally:
            self._context.quarantine.record_finished(call)
