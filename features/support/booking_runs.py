"""Random runs of bookings, which may not run twice, under faults.

Each booking has a number, which the service records when it runs the booking. The
oracle compares these records with the outcomes that the callers got.
"""

import asyncio
import json
import random

from cowslipcourse.admission import Priority
from cowslipcourse.daemon import now
from cowslipcourse.exceptions import RequestError
from cowslipcourse.gateway.callers import Call
from cowslipcourse.gateway.outcome_persistence import store_outcomes
from cowslipcourse.requests.keys import key_prefix
from features.support.group_runs import vm_specs
from features.support.small_site import InProcessSite, base_changes

GATEWAYS = ("g1", "g2", "g3")
SETTLE_S = 30.0
REMEMBERED_OUTCOME = "remembered"


class Booking:
    """One booking, sent once or several times.

    :ivar results: ``(outcome, answer or error code)`` of each send.
    """

    def __init__(self, number, key, repeatable):
        self.number = number
        self.key = key
        self.repeatable = repeatable
        self.key_kind = "none" if not key else "minted" if key[:3] == "cw1" else "own"
        self.results = []


class BookingRun:
    """One random run of callers, gateways and faults.

    :param seed: seed of everything random.
    """

    def __init__(self, seed):
        self.seed = seed
        self._rng = random.Random(seed)
        self._site = None
        self._bookings = []
        self._tasks = set()

    async def run(self, event_count=50):
        """Make the run and return the violations found."""
        random.seed(self.seed)
        self._site = site = InProcessSite(self.seed, vm_specs(True), ("c1",), GATEWAYS)
        site.gateway_limits = {"key_window_s": 8.0, "key_windows": 2}
        await site.start()
        await site.edit("c1", *base_changes(2, 4))
        views = [g.view for g in site.gateways.values()]
        await site.wait_until(
            lambda: all(len(v.service_grants("svc")) == 2 for v in views)
        )
        for _ in range(event_count):
            self._send_random_booking()
            if self._rng.random() < 0.5:
                await self._inject_random_fault()
            await asyncio.sleep(self._rng.choice((0.0, 0.05, 0.3, 1.0, 3.0)))
        self._clear_faults()
        await asyncio.sleep(SETTLE_S)
        await asyncio.gather(*self._tasks)
        violations = self._violations()
        await site.stop()
        return violations

    @property
    def completed_key_kinds(self):
        """Kinds of keys of the completed bookings."""
        return {b.key_kind for b in self._bookings if "completed" in dict(b.results)}

    @property
    def outcome_counts(self):
        """Number of sends by outcome."""
        counts = {}
        for booking in self._bookings:
            for outcome, _ in booking.results:
                counts[outcome] = counts.get(outcome, 0) + 1
        return counts

    # Callers.

    def _send_random_booking(self):
        number = len(self._bookings)
        key = self._random_key(number)
        booking = Booking(number, key, not key and self._rng.random() < 0.5)
        self._bookings.append(booking)
        send_count = self._rng.choice((1, 1, 2, 3)) if booking.key else 1
        for index in range(send_count):
            delay_s = self._rng.choice((0.0, 0.0, 0.01, 0.5, 4.0, 20.0)) if index else 0
            gateway = self._rng.choice(GATEWAYS)
            task = asyncio.create_task(self._send(booking, gateway, delay_s))
            self._tasks.add(task)

    def _random_key(self, number):
        key_kind = self._rng.choice(("minted", "minted", "own", "none"))
        if key_kind == "none":
            return ""
        if key_kind == "own":
            return f"own-{number}"
        gateway = self._site.gateways[self._rng.choice(GATEWAYS)]
        member = gateway.agent.member
        window = gateway.context.outcomes.window(now())
        return key_prefix(member.name, member.incarnation, window) + str(number)

    async def _send(self, booking, name, delay_s):
        await asyncio.sleep(delay_s)
        gateway = self._site.gateways[name]
        repeatable = True if booking.repeatable else None
        call = Call("r", "crew", Priority.NORMAL, None, booking.key, repeatable)
        body = json.dumps({"n": booking.number}).encode()
        call_task = asyncio.create_task(self._run_call(gateway, call, body))
        crash_task = asyncio.create_task(gateway.crashed.wait())
        await asyncio.wait((call_task, crash_task), return_when=asyncio.FIRST_COMPLETED)
        crash_task.cancel()
        if call_task.done() and not call_task.cancelled():
            booking.results.append(call_task.result())
        else:
            call_task.cancel()
            booking.results.append(("broken", ""))

    async def _run_call(self, gateway, call, body):
        try:
            await gateway.gate.pass_message()
            gateway.agent.require_serving()
            completed, _ = await gateway.requests.run(call, "svc", "book", body)
            return "completed", completed.body
        except RequestError as error:
            return error.outcome, error.code

    # Faults.

    async def _inject_random_fault(self):
        fault_weights = {
            self._crash_gateway: 3,
            self._stop_gateway: 2,
            self._toggle_freeze: 3,
            self._cut_link: 3,
            self._toggle_table: 2,
            self._lose_table_replies: 3,
            self._toggle_object_store: 1,
            self._fail_service: 6,
            self._clear_faults: 5,
        }
        inject_fault = self._rng.choices(
            list(fault_weights), list(fault_weights.values())
        )[0]
        awaitable = inject_fault()
        if awaitable is not None:
            await awaitable

    def _random_gateway(self):
        return self._site.gateways[self._rng.choice(GATEWAYS)]

    async def _crash_gateway(self):
        await self._site.restart(self._rng.choice(GATEWAYS))

    async def _stop_gateway(self):
        gateway = self._random_gateway()
        gateway.gate.open()
        await store_outcomes(gateway.context)
        await gateway.agent.leave()
        await self._site.restart(gateway.name)

    def _toggle_freeze(self):
        gate = self._random_gateway().gate
        gate.open() if not gate.is_open else gate.shut()

    def _cut_link(self):
        a, b = self._rng.sample(GATEWAYS, 2)
        addresses = [self._site.gateways[n].agent.member.peer_address for n in (a, b)]
        self._site.network.cut.add(frozenset(addresses))

    def _toggle_table(self):
        faults = self._site.world.table.faults
        faults["down"] = not faults["down"]

    def _lose_table_replies(self):
        self._site.world.table.faults["lose_replies"] = self._rng.randint(1, 3)

    def _toggle_object_store(self):
        faults = self._site.world.object_faults
        faults["down"] = not faults["down"]

    def _fail_service(self):
        target = self._site.world.targets[self._rng.choice(("s1", "s2"))]
        fault = self._rng.choice(
            ("drop_before_answer", "drop_unread", "wrong_attempt", "refuse", "slow_s")
        )
        values = {"refuse": self._rng.choice(("", "busy")), "slow_s": 2.0}
        target.faults[fault] = values.get(fault, 1)

    def _clear_faults(self):
        site = self._site
        site.network.cut.clear()
        site.world.table.faults.update(down=False, lose_replies=0)
        site.world.object_faults["down"] = False
        for gateway in site.gateways.values():
            gateway.gate.open()
        for name in ("s1", "s2"):
            faults = site.world.targets[name].faults
            faults.update(refuse="", slow_s=0.0, drop_unread=0, wrong_attempt=0)

    # Oracle.

    def _violations(self):
        runs_by_number = {}
        for name in ("s1", "s2"):
            for event in self._site.world.targets[name].history:
                number = json.loads(event["body"])["n"]
                runs_by_number.setdefault(number, []).append((name, event["attempt"]))
        violations = []
        for booking in self._bookings:
            run_count = len(runs_by_number.get(booking.number, ()))
            outcomes = {outcome for outcome, _ in booking.results}
            distinct_answers = {
                answer for outcome, answer in booking.results if outcome == "completed"
            }
            if run_count > 1 and not booking.repeatable:
                violations.append((booking.number, "ran twice", booking.key))
            if "completed" in outcomes and run_count != 1 and not booking.repeatable:
                violations.append((booking.number, "completed but ran", run_count))
            if outcomes == {"not_run"} and run_count:
                violations.append(
                    (booking.number, "reported not run, but ran", booking.results)
                )
            if len(distinct_answers - {b""}) > 1:
                violations.append(
                    (booking.number, "different answers", distinct_answers)
                )
        return violations
