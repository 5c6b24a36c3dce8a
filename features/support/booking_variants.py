"""Non-repeatable calls with one mechanism disabled, which the oracle must detect."""

import contextlib
from unittest import mock

from cowslipcourse.daemon import now
from cowslipcourse.exceptions import NoTargetAvailable, OutcomeUnknown
from cowslipcourse.gateway.claims import ClaimCommitter
from cowslipcourse.gateway.service_calls import ServiceCall
from cowslipcourse.gateway.services import ServiceHandler
from cowslipcourse.requests import OutcomeStore

__all__ = ["VARIANTS"]


def _retry_unknown_outcomes():
    """Retry a call whose outcome is unknown."""

    def ran(self, error):
        return False

    return mock.patch.object(ServiceCall, "_record_failed_attempt", ran)


def _ignore_home_gateway():
    """Run a call at the gateway that received it, not at the key's home gateway."""

    async def run_at_home(self, job, home):
        return await self._run_locally(job, self._context.outcomes.window(now()))

    return mock.patch.object(ServiceHandler, "_run_at_home", run_at_home)


def _drop_outcomes_with_window():
    """Drop outcomes with their key window, and run keys of expired windows again."""

    @contextlib.contextmanager
    def patched():
        run_once = OutcomeStore.run_once

        async def run_once_in_current_window(
            self, key, window, fingerprint, execute, now
        ):
            current = self.window(now)
            if window <= current - self._limits.key_windows:
                window = current
            return await run_once(self, key, window, fingerprint, execute, now)

        with mock.patch.object(OutcomeStore, "run_once", run_once_in_current_window):
            yield

    return patched()


def _claim_unconditionally():
    """Grant claims without the conditional write, also when its reply is lost."""

    async def commit(self, batch):
        for _, claim, found in batch:
            if not found.done():
                found.set_result(claim)

    return mock.patch.object(ClaimCommitter, "_commit", commit)


def _report_lost_connections_as_not_run():
    """Report a call as not run whenever its connection was lost."""

    original = ServiceCall.run

    async def run(self):
        try:
            return await original(self)
        except OutcomeUnknown as error:
            raise NoTargetAvailable(error.detail) from error

    return mock.patch.object(ServiceCall, "run", run)


VARIANTS = {
    "retries after an unknown outcome": _retry_unknown_outcomes,
    "keys without a home gateway": _ignore_home_gateway,
    "outcomes dropped with their key window": _drop_outcomes_with_window,
    "unconditional claims": _claim_unconditionally,
    "lost connections reported as not run": _report_lost_connections_as_not_run,
}
