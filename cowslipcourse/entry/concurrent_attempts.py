"""Attempts at one request that are in progress at the same time.

A silent target may only be paused, so the attempt at it stays open while another target
gets the request too. The first attempt that has something to deliver ends the others.
"""

import asyncio
from typing import Protocol

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.exceptions import AttemptSuperseded

__all__ = ["NO_RIVALS", "ConcurrentAttempts", "RequestRepeats", "Rivals"]

log = get_logger(__name__)


class Rivals(Protocol):
    """The other attempts at the request of a run."""

    def exist_beside(self, run) -> bool:
        """Whether an attempt other than this run is in progress."""

    def report_silence(self) -> None:
        """Report that the target of a run is silent."""

    def supersede(self, run) -> None:
        """End all attempts but this run."""


class _NoRivals:
    """Implements :class:`Rivals` for a request with a single attempt."""

    def exist_beside(self, run):
        """Return that there are none."""
        return False

    def report_silence(self):
        """Ignore the silence."""

    def supersede(self, run):
        """End nothing."""


NO_RIVALS = _NoRivals()


class ConcurrentAttempts:
    """Tasks of the attempts at one request; implements :class:`Rivals`.

    :param request_id: id of the request, for logs.
    :param count_hedge: called with the outcome of each hedge: ``"won"`` or ``"lost"``.
    """

    def __init__(self, request_id, count_hedge):
        self._request_id = request_id
        self._count_hedge = count_hedge
        self._runs = {}
        self._wake_up = asyncio.get_running_loop().create_future()

    def __len__(self):
        return len(self._runs)

    @property
    def have_sent(self):
        """Whether an attempt has sent the request."""
        return any(
            run is not None and run.connection is not None
            for run in self._runs.values()
        )

    @property
    def are_silent(self):
        """Whether there are attempts, all of them at silent targets."""
        return bool(self._runs) and all(
            run is not None and run.is_silent for run in self._runs.values()
        )

    def start(self, attempt):
        """Start an attempt.

        :param attempt: coroutine that calls :meth:`set_run` before it sends anything.
        """
        self._runs[asyncio.create_task(attempt)] = None

    def set_run(self, run):
        """Set the run of the attempt whose task is running."""
        self._runs[asyncio.current_task()] = run

    async def wait(self, timeout_s):
        """Wait until attempts have ended, a target is silent, or :meth:`wake`.

        :param timeout_s: maximum time to wait, in seconds, or ``None``.
        :returns: list of the tasks that have ended, in order of their start.
        """
        ended, _ = await asyncio.wait(
            {*self._runs, self._wake_up},
            timeout=timeout_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        if self._wake_up in ended:
            self._wake_up = asyncio.get_running_loop().create_future()
        ended_tasks = [task for task in self._runs if task in ended]
        for task in ended_tasks:
            del self._runs[task]
        return ended_tasks

    async def stop(self):
        """Cancel the attempts that are still in progress."""
        tasks = list(self._runs)
        for run in self._runs.values():
            if run is not None and not run.is_superseded:
                self._log_cancelled(run)
        self._runs.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _log_cancelled(self, run):
        log.info(
            "attempt-cancelled",
            request=self._request_id,
            target=run.entry.id,
            sent=run.connection is not None,
            silent=run.is_silent,
            events=run.relayed_events,
            configuration=run.configuration_version,
        )

    def exist_beside(self, run):
        """See :class:`Rivals`."""
        return any(other is not run for other in self._runs.values())

    def wake(self):
        """End the present :meth:`wait`, or the next one."""
        if not self._wake_up.done():
            self._wake_up.set_result(None)

    def report_silence(self):
        """See :class:`Rivals`."""
        self.wake()

    def supersede(self, run):
        """See :class:`Rivals`."""
        for task, other in list(self._runs.items()):
            if other is run or (other is not None and other.is_superseded):
                continue
            if other is None or other.connection is None:
                task.cancel()
                continue
            other.is_superseded = True
            self._count_hedge("won" if run.is_hedge else "lost")
            log.info(
                "attempt-superseded",
                request=self._request_id,
                target=other.entry.id,
                by=run.entry.id,
                hedge_won=run.is_hedge,
            )
            other.abort(AttemptSuperseded(f"{run.entry.id} delivered first"))


class RequestRepeats:
    """Retries of a request that were taken from the budget and may not have arrived.

    Of the sends that may still arrive, as many can become repeats as retries were
    taken.

    :param budget: :class:`~cowslipcourse.admission.SharedRetryBudget`
    :param service: name of the service.
    """

    def __init__(self, budget, service):
        self._budget = budget
        self._service = service
        self._unsettled = 0
        self._unread_runs = []

    def try_take(self, now, is_hedge):
        """Take a retry from the budget; return whether one was available.

        :param now: loop time in seconds.
        :param is_hedge: whether it is sent beside an attempt at a silent target.
        """
        is_taken = self._budget.try_take(self._service, now, is_hedge)
        self._unsettled += is_taken
        return is_taken

    def add_send(self, run):
        """Add a run that is about to be sent to its target.

        :param run: :class:`~cowslipcourse.entry.attempts.TargetRun`
        """
        if not run.is_relayed:
            self._unread_runs.append(run)
            run.on_sent = self._on_sent
            run.on_read = self._on_read

    def _on_sent(self, run):
        self._budget.record_send(self._service, asyncio.get_running_loop().time())

    def _on_read(self, run):
        now = asyncio.get_running_loop().time()
        self._budget.record_answer(self._service, run.target_key, run.sent_at, now)
        self.remove_send(run)

    def remove_send(self, run):
        """Remove a run that its target has read, or that it never will read."""
        if run in self._unread_runs:
            self._unread_runs.remove(run)
            self._settle(len(self._unread_runs))

    def end(self):
        """Leave the runs that may still arrive to the budget."""
        self._settle(len(self._unread_runs))
        for run in self._unread_runs[: self._unsettled]:
            self._budget.expect_late(self._service, run.target_key, run.sent_at)
        self._settle(0)

    def _settle(self, unsettled):
        """Reduce the number of retries that may not have arrived."""
        while self._unsettled > unsettled:
            self._unsettled -= 1
            self._budget.settle(self._service)
