"""Requests with shared parts of prompts that are in flight, by part and by pool."""

from collections import Counter
from contextlib import contextmanager

from cowslipcourse.quarantine import InFlightRuns, run_stage
from cowslipcourse.quarantine.fingerprints import SERVICE_BYTES

__all__ = ["PoolRuns", "pool_key"]


def pool_key(call):
    """Return the id of the pool of targets that a request with shared parts may run at.

    :param call: :class:`~cowslipcourse.entry.calls.Call`
    :returns: service and model.
    """
    return call.part_fingerprints[0][:SERVICE_BYTES], call.model


class PoolRuns:
    """Runs that are in flight, and their requests."""

    def __init__(self):
        self._calls_by_part = {}
        self._calls_by_pool = {}

    @contextmanager
    def tracking(self, call, run):
        """Count a run as in flight.

        :param call: :class:`~cowslipcourse.entry.calls.Call` with shared parts.
        :param run: :class:`~cowslipcourse.entry.attempts.TargetRun`
        """
        groups = [(self._calls_by_part, part) for part in set(call.part_fingerprints)]
        groups.append((self._calls_by_pool, pool_key(call)))
        for calls_by_key, key in groups:
            calls_by_key.setdefault(key, {})[run] = call
        try:
            yield
        finally:
            for calls_by_key, key in groups:
                del calls_by_key[key][run]
                if not calls_by_key[key]:
                    del calls_by_key[key]

    def with_part(self, part):
        """Return the runs of requests with a part."""
        return list(self._calls_by_part.get(part, ()))

    def in_flight_with(self, call, run):
        """Return what is in flight in the pool of a request.

        :param call: :class:`~cowslipcourse.entry.calls.Call` with shared parts.
        :param run: its run, which has just ended and is counted too.
        :returns: :class:`~cowslipcourse.quarantine.InFlightRuns`
        """
        in_flight = InFlightRuns(Counter(), Counter())
        others = self._calls_by_pool.get(pool_key(call), {}).items()
        for each_run, each_call in (*others, (run, call)):
            in_flight.add(each_call.part_fingerprints, run_stage(each_run))
        return in_flight
