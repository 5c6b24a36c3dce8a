"""Random runs of calls that may not be repeated, with a simple oracle.

Every booking has a number of its own, which the service records when it runs it. The
oracle compares these records with what the callers were told.
"""

import asyncio
import json
import random

from cowslipcourse.admission import Priority
from cowslipcourse.daemon import now
from cowslipcourse.exceptions import RequestError
from cowslipcourse.gateway.callers import Call
from cowslipcourse.gateway.sealing import store_outcomes
from cowslipcourse.requests.keys import key_prefix
from features.support.group_runs import vm_specs
from features.support.small_site import InProcessSite, base_changes

GATEWAYS = ("g1", "g2", "g3")
SETTLE_S = 30.0
TOLD_REMEMBERED = "remembered"


class Booking:
    """One booking, sent once or several times.

    :ivar told: ``(outcome, answer or code)`` of each time that it was sent.
    """

    def __init__(self, number, key, repeatable):
        self.number = number
        self.key = key
        self.repeatable = repeatable
        self.kind = "none" if not key else "minted" if key[:3] == "cw1" else "own"
        self.told = []


class BookingRun:
    """Callers, gateways and faults.

    :param seed: seed of everything random.
    """

    def __init__(self, seed):
        self.seed = seed
        self._rng = random.Random(seed)
        self._site = None
        self._bookings = []
        self._tasks = set()

    async def run(self, events=50):
        """Run and return the violations found."""
        random.seed(self.seed)
        self._site = site = InProcessSite(self.seed, vm_specs(True), ("c1",), GATEWAYS)
        site.gateway_limits = {"key_window_s": 8.0, "key_windows": 2}
        await site.start()
        await site.edit("c1", *base_changes(2, 4))
        views = [g.view for g in site.gateways.values()]
        await site.wait_until(
            lambda: all(len(v.service_grants("svc")) == 2 for v in views)
        )
        for _ in range(events):
            self._book()
            if self._rng.random() < 0.5:
                await self._fault()
            await asyncio.sleep(self._rng.choice((0.0, 0.05, 0.3, 1.0, 3.0)))
        self._mend()
        await asyncio.sleep(SETTLE_S)
        await asyncio.gather(*self._tasks)
        violations = self._check()
        await site.stop()
        return violations

    @property
    def completed_kinds(self):
        """Kinds of keys with which some booking was completed."""
        return {b.kind for b in self._bookings if "completed" in dict(b.told)}

    @property
    def told(self):
        """Number of answers by outcome."""
        counts = {}
        for booking in self._bookings:
            for outcome, _ in booking.told:
                counts[outcome] = counts.get(outcome, 0) + 1
        return counts

    # Callers.

    def _book(self):
        number = len(self._bookings)
        key = self._key(number)
        booking = Booking(number, key, not key and self._rng.random() < 0.5)
        self._bookings.append(booking)
        times = self._rng.choice((1, 1, 2, 3)) if booking.key else 1
        for index in range(times):
            delay_s = self._rng.choice((0.0, 0.0, 0.01, 0.5, 4.0, 20.0)) if index else 0
            gateway = self._rng.choice(GATEWAYS)
            task = asyncio.create_task(self._send(booking, gateway, delay_s))
            self._tasks.add(task)

    def _key(self, number):
        kind = self._rng.choice(("minted", "minted", "own", "none"))
        if kind == "none":
            return ""
        if kind == "own":
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
        work = asyncio.create_task(self._answer(gateway, call, body))
        gone = asyncio.create_task(gateway.crashed.wait())
        await asyncio.wait((work, gone), return_when=asyncio.FIRST_COMPLETED)
        gone.cancel()
        if work.done() and not work.cancelled():
            booking.told.append(work.result())
        else:
            work.cancel()
            booking.told.append(("broken", ""))

    async def _answer(self, gateway, call, body):
        try:
            await gateway.gate.trip()
            gateway.agent.require_serving()
            completed, _ = await gateway.requests.run(call, "svc", "book", body)
            return "completed", completed.body
        except RequestError as error:
            return error.outcome, error.code

    # Faults.

    async def _fault(self):
        kinds = {
            self._crash: 3,
            self._planned_stop: 2,
            self._freeze: 3,
            self._cut: 3,
            self._table: 2,
            self._lose_replies: 3,
            self._objects: 1,
            self._service: 6,
            self._mend: 5,
        }
        chosen = self._rng.choices(list(kinds), list(kinds.values()))[0]
        done = chosen()
        if done is not None:
            await done

    def _gateway(self):
        return self._site.gateways[self._rng.choice(GATEWAYS)]

    async def _crash(self):
        await self._site.restart(self._rng.choice(GATEWAYS))

    async def _planned_stop(self):
        gateway = self._gateway()
        gateway.gate.open()
        await store_outcomes(gateway.context)
        await gateway.agent.leave()
        await self._site.restart(gateway.name)

    def _freeze(self):
        gate = self._gateway().gate
        gate.open() if not gate.is_open else gate.shut()

    def _cut(self):
        a, b = self._rng.sample(GATEWAYS, 2)
        addresses = [self._site.gateways[n].agent.member.peer_address for n in (a, b)]
        self._site.network.cut.add(frozenset(addresses))

    def _table(self):
        faults = self._site.world.table.faults
        faults["down"] = not faults["down"]

    def _lose_replies(self):
        self._site.world.table.faults["lose_replies"] = self._rng.randint(1, 3)

    def _objects(self):
        faults = self._site.world.object_faults
        faults["down"] = not faults["down"]

    def _service(self):
        target = self._site.world.targets[self._rng.choice(("s1", "s2"))]
        knob = self._rng.choice(
            ("drop_before_answer", "drop_unread", "wrong_attempt", "refuse", "slow_s")
        )
        values = {"refuse": self._rng.choice(("", "busy")), "slow_s": 2.0}
        target.faults[knob] = values.get(knob, 1)

    def _mend(self):
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

    def _check(self):
        runs = {}
        for name in ("s1", "s2"):
            for event in self._site.world.targets[name].history:
                number = json.loads(event["body"])["n"]
                runs.setdefault(number, []).append((name, event["attempt"]))
        violations = []
        for booking in self._bookings:
            ran = len(runs.get(booking.number, ()))
            outcomes = {outcome for outcome, _ in booking.told}
            answers = {
                answer for outcome, answer in booking.told if outcome == "completed"
            }
            if ran > 1 and not booking.repeatable:
                violations.append((booking.number, "ran twice", booking.key))
            if "completed" in outcomes and ran != 1 and not booking.repeatable:
                violations.append((booking.number, "completed but ran", ran))
            if outcomes == {"not_run"} and ran:
                violations.append(
                    (booking.number, "told not run, but ran", booking.told)
                )
            if len(answers - {b""}) > 1:
                violations.append((booking.number, "two answers", answers))
        return violations
