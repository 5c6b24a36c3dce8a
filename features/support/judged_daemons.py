"""Daemons that evaluate and quarantine one request, in virtual time."""

import asyncio
import random
from types import SimpleNamespace

from cowslipcourse.admission.failure_attribution import TargetChoice
from cowslipcourse.emulator.clock import run_in_virtual_time
from cowslipcourse.emulator.group_oracle import Faults, World
from cowslipcourse.emulator.messages import MessageNetwork
from cowslipcourse.emulator.site_file import SiteSettings
from cowslipcourse.entry.fleet_view import FleetView
from cowslipcourse.entry.graceful_stop import GracefulStop
from cowslipcourse.entry.retries import try_targets
from cowslipcourse.entry.settings import RetrySettings
from cowslipcourse.entry.unloaded_components import AlwaysReachable
from cowslipcourse.exceptions import (
    IncompleteResponse,
    RequestHeld,
    RequestQuarantined,
    TargetFailed,
)
from cowslipcourse.platform.headers import CallerHeaders
from cowslipcourse.ports import TargetEntry
from cowslipcourse.quarantine import VerdictStore, part_fingerprints
from cowslipcourse.quarantine_runtime import Quarantine, TargetExitDetector
from cowslipcourse.routes import RequestKind, Route
from features.support.saved_budgets import saved_budget

__all__ = [
    "FINGERPRINT",
    "RUN_S",
    "JudgedDaemons",
    "make_call",
    "run_with_daemons",
    "target_entry",
]

FINGERPRINT = b"f" * 16
RUN_S = 0.05
"""Time from the arrival of a request at a target to its exit or its answer."""
SITE = SiteSettings(domains={"d": "x"}, engines_a_domain=1, models=(), kinds=())
ROUTE = Route("r", "h", "/", RequestKind.IDEMPOTENT, (("s", 1.0),), 8.0, 1.0, 1, 2)


class _Call(SimpleNamespace):
    """The attributes of a call that a quarantine uses."""


def make_call(parts=()):
    """Return a call, which is always the same request.

    :param parts: ids of the shared parts of its prompt.
    """
    return _Call(
        id="a1",
        fingerprint=FINGERPRINT,
        part_fingerprints=part_fingerprints("s", parts),
        model="m",
        caller_headers=CallerHeaders(),
        route=ROUTE,
        deadline=asyncio.get_running_loop().time() + ROUTE.timeout_s,
    )


class JudgedDaemons:
    """Daemons with quarantines, a store, and targets that crash under the request."""

    def __init__(self, count):
        loop = asyncio.get_running_loop()
        self.network = MessageNetwork(SITE, random.Random(1))
        faults = Faults(
            late_order_fraction=0,
            lost_order_fraction=0,
            unanswered_order_fraction=0,
            pause_fraction=0,
            store_failure_fraction=0,
        )
        self.store = World(random.Random(1), faults, ())
        self.clock = loop.time
        self.sent_target_ids = []
        self.crashes_targets = True
        self.quarantines = [self.start(f"a{index}") for index in range(count)]

    def start(self, name):
        """Start or restart a daemon, and return its quarantine."""
        fleet = FleetView()
        fleet.apply([target_entry(n) for n in range(50)], ())
        verdict_store = VerdictStore(self.store, self.clock)
        exit_detector = TargetExitDetector(fleet.is_expected, self._probe)
        quarantine = Quarantine(
            self.network.peers_of(name), exit_detector, verdict_store
        )
        self.network.attach(name, quarantine)
        return quarantine

    async def _probe(self, address):
        return self.crashes_targets

    async def request(self, quarantine, on_attempt=None, parts=()):
        """Send a request to targets; return the error that its caller gets, if any.

        :param on_attempt: coroutine function awaited with each run at a target.
        :param parts: ids of the shared parts of its prompt.
        """
        call = make_call(parts)

        async def choose(tried):
            return TargetChoice(target_entry(len(self.sent_target_ids)))

        async def attempt(run, is_last):
            self.sent_target_ids.append(run.entry.id)
            run.answer_started = True
            if on_attempt is not None:
                await on_attempt(run)
            await asyncio.sleep(RUN_S)
            if self.crashes_targets:
                run.ended_by_target = True
                raise IncompleteResponse("the connection ended")
            run.succeeded = True

        budget = saved_budget(RetrySettings(), ["s"], asyncio.get_running_loop().time())
        tools = SimpleNamespace(
            quarantine=quarantine,
            retry_budget=budget,
            fleet=None,
            conditions=SimpleNamespace(pause_left_s=lambda entry: 0.0),
            reachability=AlwaysReachable(),
            configuration_version=1,
            silence_detector=SimpleNamespace(own_late_s=0.0),
            count_hedge=None,
            count_retry=lambda service, outcome: None,
            stop=GracefulStop(),
        )
        try:
            await quarantine.admit(call)
            await try_targets(tools, call, "s", choose, attempt)
        except (RequestHeld, RequestQuarantined, TargetFailed) as error:
            return error
        finally:
            quarantine.record_finished(call)
        return None

    async def request_at_all(self):
        """Send the request to all daemons at once; return the error of each caller."""
        return await asyncio.gather(*(self.request(q) for q in self.quarantines))

    async def stop(self):
        """Stop the daemons."""
        self.network.stop()
        await asyncio.sleep(0)


def target_entry(number):
    """Return the entry of a target."""
    return TargetEntry(f"t{number}", "s", f"10.0.0.{number}:1", "x", 6)


def run_with_daemons(count, scenario):
    """Run a coroutine function with :class:`JudgedDaemons` in virtual time."""

    async def run():
        daemons = JudgedDaemons(count)
        await asyncio.sleep(0.1)
        try:
            await scenario(daemons)
        finally:
            await daemons.stop()

    run_in_virtual_time(run())
