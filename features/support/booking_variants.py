"""Calls that may not be repeated, with a mechanism switched off."""

import contextlib
from unittest import mock

from cowslipcourse.daemon import now
from cowslipcourse.exceptions import NoTargetAvailable, OutcomeUnknown
from cowslipcourse.gateway.claims import ClaimCommitter
from cowslipcourse.gateway.service_calls import ServiceCall
from cowslipcourse.gateway.services import ServiceHandler
from cowslipcourse.requests import OutcomeStore

__all__ = ["VARIANTS"]


def _retry_unknown():
    """Send a call again when it is not known whether it ran."""

    def ran(self, error):
        return False

    return mock.patch.object(ServiceCall, "_may_have_run_after", ran)


def _run_anywhere():
    """Run a call at the gateway that got it, whoever is the key's home."""

    async def run_at_home(self, job, home):
        return await self._run_locally(job, self._context.outcomes.window(now()))

    return mock.patch.object(ServiceHandler, "_run_at_home", run_at_home)


def _forget():
    """Forget outcomes with their window, and run a key of an old window anew."""

    @contextlib.contextmanager
    def patched():
        run_once = OutcomeStore.run_once

        async def forgetful(self, key, window, fingerprint, execute, now):
            current = self.window(now)
            if window <= current - self._limits.key_windows:
                window = current
            return await run_once(self, key, window, fingerprint, execute, now)

        with mock.patch.object(OutcomeStore, "run_once", forgetful):
            yield

    return patched()


def _trust_replies():
    """Take a lost reply to a claim for a refusal, and claim without a condition."""

    async def commit(self, batch):
        for _, claim, found in batch:
            if not found.done():
                found.set_result(claim)

    return mock.patch.object(ClaimCommitter, "_commit", commit)


def _unsent_unless_refused():
    """Tell that a call was not run whenever its connection broke."""

    original = ServiceCall.run

    async def run(self):
        try:
            return await original(self)
        except OutcomeUnknown as error:
            raise NoTargetAvailable(error.detail) from error

    return mock.patch.object(ServiceCall, "run", run)


VARIANTS = {
    "a retry after an unknown outcome": _retry_unknown,
    "keys without a home": _run_anywhere,
    "outcomes forgotten with their window": _forget,
    "claims without a condition": _trust_replies,
    "not run told without proof": _unsent_unless_refused,
}
