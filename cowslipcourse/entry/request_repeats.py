"""The retries of one request, from when they are taken until they have arrived."""

import asyncio

__all__ = ["RequestRepeats"]


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

    def try_take(self, now):
        """Take a retry from the budget; return whether one was available."""
        is_taken = self._budget.try_take(self._service, now)
        self._unsettled += is_taken
        return is_taken

    def add_send(self, run):
        """Add a run that is about to be sent to its target.

        :param run: :class:`~cowslipcourse.entry.attempts.TargetRun`
        """
        if not run.is_relayed:
            self._unread_runs.append(run)
            run.on_read = self._on_read

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
