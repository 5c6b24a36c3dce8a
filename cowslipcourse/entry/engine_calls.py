"""Status requests and orders to engines, each in its own task."""

import asyncio

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.exceptions import MalformedResponse, TargetError
from cowslipcourse.group_plans.orders import REJOIN_S
from cowslipcourse.group_plans.views import SLOW_PACE_FACTOR
from cowslipcourse.ports import OrderOperation, OrderResult

__all__ = ["EngineClient"]

SILENT_AFTER_TIMEOUTS = 2
"""Unanswered status requests after which an engine counts as silent. One is not
enough: packets get lost, and the group of a silent engine is taken apart."""
PAUSE_POLL_INTERVAL_S = 0.05
CONNECTIONS_AT_ONCE = 3
"""Connections that are opened to an engine's host at once. One may be lost or slow, and
each takes a place in the queue of a paused engine."""
MAX_FAILED_CONNECTIONS = 3
"""Connections in a row to the host of a paused engine that must fail before the host
counts as lost."""
MAX_REPORT_REQUESTS = 6
"""Limit on status requests to one engine in a row: requests that this process itself
delayed prove nothing about the engine."""
MAX_CONCURRENT_REPORTS = 24
"""Limit on concurrent status requests; orders are not limited. A call takes some 5 ms
of a small VM's processor time, and a response that is read late counts as missing."""
MAX_TIMER_DELAY_S = 0.05
"""Lateness of a time-out from which this process counts as paused: a response may have
arrived that it has not read."""

log = get_logger(__name__)


async def _assume_links():
    return True


async def _assume_unreachable(address):
    return False


class EngineClient:
    """Calls engines, one call at a time per incarnation, and records the results.

    A result is recorded for the incarnation that was called, and is no longer used if
    the engine has restarted in the meantime.

    :param control: :class:`~cowslipcourse.ports.EngineControl`
    :param settings: :class:`~cowslipcourse.entry.settings.ControlSettings`
    :param on_report: called with an engine, its report and the request's loop time.
    :param on_silent: called after an engine has been found silent.
    :param on_opened: called with an engine and its order, after it has begun to open.
    :param confirm_links: coroutine function that returns whether this daemon reaches
        targets; without that, the silence of an engine proves nothing.
    :param accepts_connections: coroutine function that returns whether a connection to
        an ``ip:port`` can be opened.
    """

    def __init__(
        self,
        control,
        settings,
        on_report,
        on_silent,
        on_opened,
        confirm_links=_assume_links,
        accepts_connections=_assume_unreachable,
    ):
        self._control = control
        self._settings = settings
        self._on_report = on_report
        self._on_silent = on_silent
        self._on_opened = on_opened
        self._confirm_links = confirm_links
        self._accepts_connections = accepts_connections
        self._busy_engines = set()
        self._tasks = set()
        self._last_report_at = float("-inf")
        self._report_slots = asyncio.Semaphore(MAX_CONCURRENT_REPORTS)

    @property
    def last_report_at(self):
        """Loop time of the last report from any engine."""
        return self._last_report_at

    def is_busy(self, engine):
        """Whether a call to this incarnation of an engine is in progress."""
        return _engine_instance(engine) in self._busy_engines

    def request_report(self, engine):
        """Request a report unless a call is in progress.

        :param engine: :class:`~cowslipcourse.group_plans.ObservedEngine`
        """
        if not self.is_busy(engine):
            self._spawn(engine, self._request_report(engine))

    def send_order(self, engine, order, models):
        """Send an order unless a call is in progress.

        :param engine: :class:`~cowslipcourse.group_plans.ObservedEngine`
        :param order: :class:`~cowslipcourse.ports.EngineOrder`
        :param models: mapping of names to :class:`~cowslipcourse.routes.EngineModel`
        """
        if not self.is_busy(engine):
            self._spawn(engine, self._send_order(engine, order, models))

    def _spawn(self, engine, coroutine):
        self._busy_engines.add(_engine_instance(engine))
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(lambda done: self._finish_call(engine, done))

    def _finish_call(self, engine, task):
        self._busy_engines.discard(_engine_instance(engine))
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.warning("call-failed", engine=engine.id, why=repr(task.exception()))

    async def _request_report(self, engine):
        loop = asyncio.get_running_loop()
        first_requested_at, timeouts, check = None, 0, None
        for _ in range(MAX_REPORT_REQUESTS):
            async with self._report_slots:
                requested_at = loop.time()
                first_requested_at = first_requested_at or requested_at
                failure = await self._try_report(engine, requested_at)
            if failure is None:
                return
            check = check or self._check_connection(engine)
            timeouts += self._is_timely(requested_at)
            if timeouts >= SILENT_AFTER_TIMEOUTS:
                break
        if timeouts < SILENT_AFTER_TIMEOUTS:
            log.info("engine-not-heard", engine=engine.id, why=failure)
            return
        if not await self._confirm_links():
            log.info("engine-not-heard", engine=engine.id, why="no target is reached")
            return
        # A sound host has accepted a connection during the second request.
        may_be_paused = check.done() and check.result()
        if may_be_paused and await self._answers_late(engine, first_requested_at):
            return
        if engine.silent_since is None:
            log.info("engine-silent", engine=engine.id, why=failure)
        engine.mark_silent(first_requested_at)
        self._on_silent()

    def _check_connection(self, engine):
        """Return a task whose result is whether the engine's host is reached."""
        check = asyncio.create_task(self._is_host_reached(engine.entry.address))
        self._tasks.add(check)
        check.add_done_callback(self._tasks.discard)
        return check

    def _is_timely(self, requested_at):
        """Whether a report request failed on time, so that it was not this process.

        :param requested_at: loop time of the request.
        """
        waited_s = asyncio.get_running_loop().time() - requested_at
        return waited_s < self._settings.report_timeout_s + MAX_TIMER_DELAY_S

    async def _is_host_reached(self, address):
        """Return whether a host accepts any of several connections."""
        tasks = [
            asyncio.create_task(self._accepts_connections(address))
            for _ in range(CONNECTIONS_AT_ONCE)
        ]
        try:
            for task in asyncio.as_completed(tasks):
                if await task:
                    return True
            return False
        finally:
            for task in tasks:
                task.cancel()

    async def _try_report(self, engine, requested_at):
        """Request a report once.

        :returns: the error, or ``None`` after a report.
        """
        try:
            report = await self._control.report(engine.entry)
        except (TargetError, MalformedResponse) as error:
            return error
        self._handle_report(engine, report, requested_at)
        return None

    async def _answers_late(self, engine, silent_since):
        """Wait for the report of an engine whose host accepts connections.

        A lost or unreachable host accepts none; a paused engine goes on, and so do the
        requests of its group. The platform itself ends work that depends on a dead
        engine only after ``stall_s``, so the wait is as long.

        :param silent_since: loop time of the first request without an answer.
        :returns: whether it has reported.
        """
        loop = asyncio.get_running_loop()
        log.info("engine-paused", engine=engine.id)
        failed_connections = 0
        while True:
            await asyncio.sleep(PAUSE_POLL_INTERVAL_S)
            requested_at = loop.time()
            if await self._try_report(engine, requested_at) is None:
                return True
            is_over = loop.time() - silent_since >= self._settings.stall_s
            if is_over and self._is_timely(requested_at):
                return False
            is_accepted = await self._accepts_connections(engine.entry.address)
            failed_connections = 0 if is_accepted else failed_connections + 1
            if failed_connections == MAX_FAILED_CONNECTIONS:
                return False

    def _handle_report(self, engine, report, requested_at):
        self._last_report_at = asyncio.get_running_loop().time()
        if engine.silent_since is not None:
            log.info("engine-heard", engine=engine.id)
        if report.pace >= SLOW_PACE_FACTOR:
            log.info("engine-slow", engine=engine.id, pace=report.pace)
        self._on_report(engine, report, requested_at)

    async def _send_order(self, engine, order, models):
        sent_at = asyncio.get_running_loop().time()
        try:
            result = await self._control.order(engine.entry, order)
        except TargetError as error:
            log.info("order-lost", engine=engine.id, order=order.operation, why=error)
            _clear_order_count(engine, order)
            return
        log.info(
            "order",
            engine=engine.id,
            order=order.operation,
            group=order.group,
            epoch=order.epoch,
            expected=order.expected_order_count,
            answer=result,
        )
        if result is OrderResult.BEGUN:
            engine.apply_started_order(order)
            _record_order_start(engine, order, models, sent_at)
            if order.operation is OrderOperation.OPEN:
                self._on_opened(engine, order)
        elif result is OrderResult.DONE:
            # The engine may or may not have incremented its order count.
            _clear_order_count(engine, order)
            if order.operation is OrderOperation.LEAVE:
                engine.membership = None
        else:
            _record_refusal(engine, order, result, asyncio.get_running_loop().time())


def _engine_instance(engine):
    return engine.id, engine.incarnation


def _clear_order_count(engine, order):
    """Clear the order count, which must be read again before the next order."""
    engine.order_count = None
    if order.operation is OrderOperation.STAGE:
        engine.staging_model = None


def _record_refusal(engine, order, result, now):
    _clear_order_count(engine, order)
    if result is OrderResult.OTHER_ENGINE:
        engine.mark_replaced(now)
        return
    if result is OrderResult.EPOCH_TOO_OLD:
        engine.mark_epoch_refused(order.epoch)
    engine.mark_order_refused(now)


def _record_order_start(engine, order, models, sent_at):
    if order.operation is OrderOperation.JOIN:
        engine.join_sent_at[order.epoch] = sent_at
        model = models[order.model]
        if engine.joined_model == order.model:
            engine.expected_join_s[order.epoch] = REJOIN_S
        elif order.model in engine.staged:
            engine.expected_join_s[order.epoch] = model.warm_s
        else:
            engine.expected_join_s[order.epoch] = model.load_s
        engine.joined_model = order.model
    elif order.operation is OrderOperation.OPEN:
        engine.open_sent_at[order.epoch] = sent_at
    elif order.operation is OrderOperation.CLOSE:
        engine.close_sent_at[order.epoch] = sent_at
    elif order.operation is OrderOperation.LEAVE:
        engine.membership = None
