"""Forward streams: relay complete events and resume at another target on failure."""

import asyncio
from contextlib import contextmanager

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.admission.failure_attribution import StreamTimes, late_cause
from cowslipcourse.admission.urgency import overdue_after_s
from cowslipcourse.entry.attempt_outcomes import NOT_EXECUTED_STATUSES
from cowslipcourse.entry.retries import try_targets
from cowslipcourse.entry.silence_detector import WatchedStream
from cowslipcourse.entry.stream_target_selection import StreamTargetChooser
from cowslipcourse.exceptions import IncompleteResponse, TargetError, TargetRefused
from cowslipcourse.load_balancing.target_speeds import UnobservedRequest
from cowslipcourse.platform.headers import is_not_executed, response_headers
from cowslipcourse.streams import EventSplitter, StreamPosition

__all__ = ["StreamForwarder"]

log = get_logger(__name__)


class _StreamProgress:
    """Progress and timing of a caller's stream across attempts.

    :param call: :class:`~cowslipcourse.entry.calls.Call`
    :param responder: :class:`~cowslipcourse.entry.calls.Responder`
    """

    def __init__(self, call, responder):
        self.call = call
        self.responder = responder
        self.position = StreamPosition(call.caller_headers.last_event_id)
        self.first_event_s = None
        self.longest_pause_s = 0.0
        self.slot_wait_s = 0.0
        self.ends_with_connection = False
        self.observed = UnobservedRequest()
        self.relaying = asyncio.Lock()
        """Held while an attempt sends to the caller."""
        self._last_event_at = None

    @property
    def resume_event_id(self):
        """Id of the last event that this daemon relayed, or ``None``."""
        return self.position.last_event_id if self.position.relayed_events else None

    @property
    def has_events(self):
        """Whether the caller has received events, from this or another daemon."""
        return self.position.last_event_id is not None

    def record_events(self, now):
        """Record the time at which events were relayed."""
        if self._last_event_at is None:
            self.first_event_s = now - self.call.arrived_at
        else:
            self.longest_pause_s = max(self.longest_pause_s, now - self._last_event_at)
        self._last_event_at = now


class StreamForwarder:
    """Forwards streams to heads of groups, or to targets of a service without groups.

    :param context: :class:`~cowslipcourse.entry.context.DaemonContext`
    """

    def __init__(self, context):
        self._context = context
        self._target_chooser = StreamTargetChooser(context)

    async def forward(self, call, service, responder):
        """See :meth:`cowslipcourse.entry.forwarder.Forwarder.forward`."""
        progress = _StreamProgress(call, responder)

        async def choose(tried_ids):
            return await self._target_chooser.choose(progress, service, tried_ids)

        async def attempt(run, is_last):
            await self._attempt(progress, run)

        delivery = await try_targets(self._context, call, service, choose, attempt)
        _log_completion(progress, delivery)

    async def _attempt(self, progress, run):
        call = progress.call
        run.last_event_id = progress.position.last_event_id or 0
        async with self._context.open_attempt(
            call, run, progress.resume_event_id
        ) as attempt:
            try:
                with (
                    self._watching(call, run, attempt) as stream,
                    self._context.observing(call, run) as observed,
                ):
                    await self._relay(progress, run, attempt, stream, observed)
            except (TargetError, asyncio.CancelledError):
                attempt.connection.abort()
                raise

    @contextmanager
    def _watching(self, call, run, attempt):
        """Watch a stream for silence; that of a relay includes its retries."""
        stream = WatchedStream(attempt, run, call.id, overdue_after_s(call.route))
        if run.is_relayed:
            yield stream
            return
        self._context.silence_detector.add(stream)
        try:
            yield stream
        finally:
            self._context.silence_detector.remove(stream)

    async def _relay(self, progress, run, attempt, stream, observed):
        head = await attempt.read_head()
        run.mark_read()
        run.answer_started = True
        progress.ends_with_connection = attempt.connection.is_close_delimited
        if is_not_executed(head):
            raise TargetRefused(f"answered {head.status}")
        if head.status != 200:
            await self._relay_error(progress, run, head, attempt)
            return
        splitter = EventSplitter()
        while chunk := await attempt.connection.read():
            events = splitter.feed(chunk)
            now = asyncio.get_running_loop().time()
            stream.note_partial_event(splitter.has_partial_event and not events, now)
            if not events:
                continue
            stream.has_events = True
            observed.record_events(len(events), now)
            progress.observed = observed
            with stream.relaying():
                async with progress.relaying:
                    await self._relay_events(progress, run, head, events)
        _check_end(run, attempt.connection, splitter)
        await attempt.confirm_end()
        async with progress.relaying:
            await _finish(progress, run, head)

    async def _relay_events(self, progress, run, head, events):
        run.check_superseded()
        relayed_before = progress.position.relayed_events
        content, error = progress.position.filter_events(events)
        run.relayed_events += progress.position.relayed_events - relayed_before
        run.last_event_id = progress.position.last_event_id or 0
        if content:
            run.supersede_rivals()
            now = asyncio.get_running_loop().time()
            progress.record_events(now)
            if run.first_event_at is None:
                run.first_event_at = now
            if not progress.responder.started:
                await progress.responder.start(200, _stream_headers(head))
            await progress.responder.send_chunk(content)
        if error is not None:
            raise error

    async def _relay_error(self, progress, run, head, attempt):
        responder = progress.responder
        with self._context.holding_answers() as hold:
            body = await attempt.connection.read_all(hold)
            await attempt.confirm_end()
            is_proven = run.is_relayed or head.status not in NOT_EXECUTED_STATUSES
            if responder.started or run.has_rivals or not is_proven:
                raise IncompleteResponse(f"answered {head.status}")
            await responder.start(head.status, response_headers(head.headers))
            await responder.finish(body)


async def _finish(progress, run, head):
    """End the response to the caller with that of a target, which is whole."""
    run.supersede_rivals()
    run.succeeded = True
    if not progress.responder.started:
        await progress.responder.start(200, _stream_headers(head))
    await progress.responder.finish()


def _check_end(run, connection, splitter):
    """Check that a stream which has ended is whole.

    A crash and the end of a stream look alike if the stream ends with its connection.

    :raises IncompleteResponse: it ended inside an event, or before its first one.
    """
    is_cut_at_start = connection.is_close_delimited and not run.relayed_events
    if splitter.has_partial_event or is_cut_at_start:
        connection.reject_end()
        raise IncompleteResponse("the stream ended inside an event or without one")


def _log_completion(progress, delivery):
    call = progress.call
    now = asyncio.get_running_loop().time()
    times = StreamTimes(
        progress.slot_wait_s,
        progress.first_event_s or 0.0,
        progress.longest_pause_s,
        delivery.attempts,
    )
    log.info(
        "streamed",
        request=call.id,
        route=call.route.name,
        model=call.caller_headers.model,
        late=late_cause(call.route, times),
        place_s=round(progress.slot_wait_s, 3),
        target=delivery.entry.id,
        attempts=delivery.attempts,
        withheld=delivery.withheld,
        events=progress.position.relayed_events,
        ends_with_connection=progress.ends_with_connection,
        first_s=None
        if progress.first_event_s is None
        else round(progress.first_event_s, 3),
        pause_s=round(progress.longest_pause_s, 3),
        seconds=round(now - call.arrived_at, 3),
        **progress.observed.log_fields(),
    )


def _stream_headers(head):
    """Return response headers without the length, which changes if a stream resumes."""
    headers = response_headers(head.headers)
    return [(name, value) for name, value in headers if name != b"content-length"]
