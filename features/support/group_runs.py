"""Random runs of controllers, engines and a gateway, with a simple oracle.

The oracle looks at the engines and the table themselves, every tenth of a second and
at every request that an engine starts.
"""

import asyncio
import contextlib
import json
import random
import secrets
from unittest import mock

from cowslipcourse.admission import Priority
from cowslipcourse.controller.groups import Claim
from cowslipcourse.daemon import now
from cowslipcourse.exceptions import CowslipError, RequestError
from cowslipcourse.fleet import GroupSpec
from cowslipcourse.gateway.callers import Call
from cowslipcourse.gateway.generation import Generation
from cowslipcourse.standin.engine import answer_words
from features.support.small_site import InProcessSite, base_changes, change
from harness.callers import chat_body

LOOK_S = 0.1
GRANT_S = 3.0
LEAVING_LIMIT_S = 6.0
SETTLE_LIMIT_S = 240.0


class Oracle:
    """Watches the world and notes violations.

    :param site: :class:`InProcessSite`
    """

    def __init__(self, site):
        self._site = site
        self._present_at = {}
        self._seen = {}
        self._leaving_since = {}
        self.violations = []
        self.partial = {}
        self.started_requests = set()
        self.started = 0
        self.last_new_work_s = 0.0

    async def run(self):
        """Look for ever."""
        while True:
            self.look()
            await asyncio.sleep(LOOK_S)

    def look(self):
        """Check everything once."""
        self._note_present()
        self._check_table()
        self._check_grants()
        self._check_work()

    def _note(self, *violation):
        self.violations.append((round(now(), 2), *violation))

    def _note_present(self):
        world = self._site.world
        for engine in [*world.targets.values(), *world.removed.values()]:
            if not getattr(engine, "members", ()):
                continue
            if world.all_present(engine.members, engine.assignment):
                held = engine.assignment
                self._present_at[(held["group"], held["epoch"])] = now()

    def _check_table(self):
        owner = {}
        claims = [Claim(*row) for row in self._site.rows("vm/").values()]
        members = {c.vm: c.group for c in claims if not c.releasing}
        for row in self._site.rows("group/").values():
            spec = GroupSpec(*row)
            for vm, *_ in spec.members:
                other = owner.setdefault(vm, spec.group)
                if other != spec.group:
                    self._note("one VM in two groups", vm, other, spec.group)
                if members.get(vm) != spec.group:
                    self._note("a member without its claim", vm, spec.group)

    def _check_grants(self):
        for gateway in self._site.gateways.values():
            if not gateway.gate.is_open:
                continue
            owner = {}
            for grant in gateway.view.grants(["grp"]):
                spec = grant.report.spec
                for vm in spec.vm_names:
                    other = owner.setdefault(vm, spec.group)
                    if other != spec.group:
                        self._note("two groups granted on one VM", vm, other)

    def _check_work(self):
        world = self._site.world
        for name, target in [*world.targets.items(), *world.removed.items()]:
            leaving = name in world.removed or target.vm["state"] == "leaving"
            if not leaving or world.list_faults["frozen"]:
                # While the list stands still, nobody can know of it.
                self._leaving_since.pop(name, None)
            else:
                self._leaving_since.setdefault(name, now())
            # A restart keeps the history, so nothing is counted twice.
            for event in target.history[self._seen.get(name, 0) :]:
                if event["event"] == "generate":
                    self._check_start(name, event)
            self._seen[name] = len(target.history)

    def _check_start(self, name, event):
        self.started += 1
        self.started_requests.add(event["request"])
        if not event["all_present"]:
            held = (event["group"], event["epoch"])
            last = self._present_at.get(held)
            if last is None or event["at"] - last > GRANT_S + 2 * LOOK_S:
                seen = (round(now(), 2), "served without all members", *held, last)
                self.partial[event["attempt"]] = seen
        since = self._leaving_since.get(name)
        if since is not None:
            took_s = event["at"] - since
            self.last_new_work_s = max(self.last_new_work_s, took_s)
            if took_s > LEAVING_LIMIT_S:
                self._note("new work on a leaving VM", name, took_s)


class RequestLoad:
    """Callers of one gateway; checks each answer.

    :param site: :class:`InProcessSite`
    """

    def __init__(self, site, interval_s=0.2):
        self._site = site
        self._interval_s = interval_s
        self._running = set()
        self.outcomes = {}
        self.violations = []
        self.attempts = set()
        self.told_not_run = set()

    async def run(self):
        """Send requests for ever."""
        number = 0
        while True:
            number += 1
            for gateway in list(self._site.gateways.values()):
                task = asyncio.create_task(self._request(gateway, f"r{number}"))
                self._running.add(task)
                task.add_done_callback(self._running.discard)
            await asyncio.sleep(self._interval_s)

    async def finish(self):
        """Wait for the requests under way."""
        await asyncio.gather(*self._running, return_exceptions=True)

    async def _request(self, gateway, request_id):
        body = chat_body(request_id, "m", 12)
        call = Call(request_id, "crew", Priority.NORMAL, None, "", None)
        pieces = []
        outcome, generation = "completed", None
        try:
            await gateway.gate.trip()
            gateway.agent.require_serving()
            declarations = gateway.chooser.admit(call, "m")
            generation = Generation(call, body, declarations, gateway.tools)
            async for piece in generation.pieces():
                pieces.append(piece)
        except RequestError as error:
            outcome = error.outcome
        if generation is not None:
            self.attempts.update(generation.attempts)
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
        wanted = answer_words(body)
        found = [_word(e) for p in pieces for e in p.split(b"\n\n")[:-1]]
        if outcome == "completed" and found != wanted:
            self.violations.append((request_id, "not the whole answer", found))
        if found != wanted[: len(found)]:
            self.violations.append((request_id, "another answer", found))
        if outcome == "not_run":
            self.told_not_run.add(request_id)


def _word(event):
    chunk = json.loads(event.removeprefix(b"data: "))
    return chunk["choices"][0]["delta"]["content"]


def vm_specs(fenced):
    """Return the VMs of a run: two domains that hold four groups of two."""
    labels = {"pool": "large"}
    return [
        {
            "prefix": prefix,
            "count": 5,
            "domain": domain,
            "data_centre": "dc1",
            "labels": labels,
            "fenced": fenced,
        }
        for prefix, domain in (("a", "d1"), ("b", "d2"))
    ] + [
        {
            "prefix": "s",
            "count": 2,
            "domain": "d1",
            "data_centre": "dc1",
            "kind": "service",
            "labels": {"pool": "small"},
        }
    ]


class Faults:
    """Random faults over a site.

    :param site: :class:`InProcessSite`
    :param rng: :class:`random.Random`
    """

    def __init__(self, site, rng):
        self._site = site
        self._rng = rng
        self._versions = 1

    def engine(self):
        """Return the name of some engine that is still listed."""
        engines = [n for n, t in self._site.world.targets.items() if n[0] != "s"]
        return self._rng.choice(engines)

    async def one(self):
        """Make one fault happen and return its name."""
        kinds = self.kinds()
        chosen = self._rng.choices(list(kinds), list(kinds.values()))[0]
        await chosen()
        return chosen.__name__

    def kinds(self):
        """Return how often each kind of fault happens."""
        return {
            self.kill: 4,
            self.restart: 4,
            self.pause_engine: 3,
            self.leave: 2,
            self.remove: 1,
            self.freeze_controller: 4,
            self.crash_controller: 3,
            self.cut_controller: 2,
            self.freeze_gateway: 2,
            self.table: 3,
            self.lose_replies: 3,
            self.freeze_list: 1,
            self.delay_orders: 2,
            self.reload: 2,
            self.resize: 2,
            self.mend: 4,
        }

    async def kill(self):
        self._site.world.targets[self.engine()].faults["dead"] = True

    async def restart(self):
        self._site.world.change_vm(self.engine(), "restart")

    async def pause_engine(self):
        faults = self._site.world.targets[self.engine()].faults
        faults["frozen"] = not faults["frozen"]

    async def leave(self):
        name = self.engine()
        self._site.world.targets[name].faults["ignore_leaving"] = True
        self._site.world.change_vm(name, "leave")

    async def remove(self):
        if len(self._site.world.targets) > 9:
            self._site.world.change_vm(self.engine(), "remove")

    def _controller(self):
        return self._rng.choice(list(self._site.controllers))

    async def freeze_controller(self):
        gate = self._site.controllers[self._controller()].gate
        gate.open() if not gate.is_open else gate.shut()

    async def crash_controller(self):
        await self._site.restart(self._controller())

    async def cut_controller(self):
        platform = self._site.controllers[self._controller()].platform
        platform.cut = not platform.cut

    async def freeze_gateway(self):
        gate = self._rng.choice(list(self._site.gateways.values())).gate
        gate.open() if not gate.is_open else gate.shut()

    async def table(self):
        faults = self._site.world.table.faults
        faults["down"] = not faults["down"]
        faults["slow_s"] = self._rng.choice((0.0, 0.0, 0.5))

    async def lose_replies(self):
        self._site.world.table.faults["lose_replies"] = self._rng.randint(1, 4)

    async def freeze_list(self):
        faults = self._site.world.list_faults
        faults["frozen"] = not faults["frozen"]

    async def delay_orders(self):
        faults = self._site.world.targets[self.engine()].faults
        faults["order_delay_s"] = self._rng.choice((0.0, 0.5, 1.5))

    async def reload(self):
        self._versions += 1
        version = str(self._versions)
        model = change("model", "m", version=version, weights_bytes=50_000_000)
        await self._edit(model)

    async def resize(self):
        await self._edit(*base_changes(2, self._rng.choice((2, 3, 4)))[2:3])

    async def _edit(self, *changes):
        with contextlib.suppress(CowslipError, TimeoutError):
            async with asyncio.timeout(5.0):
                await self._site.edit(self._controller(), *changes)

    async def mend(self):
        """Undo every fault that a person would undo."""
        site, world = self._site, self._site.world
        world.table.faults.update(down=False, slow_s=0.0, lose_replies=0)
        world.list_faults.update(frozen=False)
        for daemon in site.daemons():
            daemon.gate.open()
            daemon.platform.cut = False
        for name, target in list(world.targets.items()):
            if target.faults["dead"]:
                world.change_vm(name, "restart")
            target.faults.update(frozen=False, refuse="", order_delay_s=0.0)
            if target.vm["state"] == "leaving":
                world.change_vm(name, "stay")


class AnswerFaults(Faults):
    """Faults of engines' answers: late, crossed, cut short, out of place."""

    def kinds(self):
        """See :class:`Faults`."""
        return {
            self.spoil: 12,
            self.refuse: 4,
            self.kill: 1,
            self.crash_controller: 1,
            self.mend: 2,
        }

    async def spoil(self):
        knobs = ("wrong_attempt", "skip_token", "repeat_token", "no_end", "break_early")
        knob = self._rng.choice(knobs)
        faults = self._site.world.targets[self.engine()].faults
        faults[knob] = self._rng.randint(1, 6)

    async def refuse(self):
        for target in self._site.world.targets.values():
            target.faults["refuse"] = self._rng.choice(("", "busy"))


async def group_run(seed, events=40, fenced=None, faults_type=Faults):
    """Run faults over a site and return ``(site, oracle, load, log of faults)``.

    :param fenced: whether targets check fencing tokens; by the seed if left out.
    :param faults_type: :class:`Faults` or a type derived from it.
    """
    rng = random.Random(seed)
    random.seed(seed)
    fenced = rng.random() < 0.5 if fenced is None else fenced
    site = InProcessSite(seed, vm_specs(fenced), ("c1", "c2", "c3"), ("g1",))
    site.world.leaders_notice = False
    await site.start()
    changes = base_changes(2, 4)
    if not fenced:
        changes += (change("site", "site", unfenced_targets="pool"),)
    oracle, load = Oracle(site), RequestLoad(site)
    tasks = [asyncio.create_task(oracle.run())]
    await site.edit("c1", *changes)
    view = site.gateways["g1"].view
    await site.wait_until(lambda: len(view.grants(["grp"])) == 4)
    tasks.append(asyncio.create_task(load.run()))
    faults = faults_type(site, rng)
    happened = []
    for _ in range(events):
        happened.append((round(now(), 1), await faults.one()))
        await asyncio.sleep(rng.choice((0.2, 0.7, 1.5, 3.0, 6.0, 9.0)))
    await faults.mend()
    settled = await _settled(site, view)
    for task in tasks:
        task.cancel()
    await load.finish()
    oracle.look()
    await site.stop()
    return Result(seed, oracle, load, happened, settled)


class Result:
    """What one run showed."""

    def __init__(self, seed, oracle, load, happened, settled):
        self.seed = seed
        used = [v for attempt, v in oracle.partial.items() if attempt in load.attempts]
        untrue = [
            (request_id, "told not run, but ran")
            for request_id in load.told_not_run & oracle.started_requests
        ]
        self.violations = [*oracle.violations, *load.violations, *used, *untrue]
        self.late_starts = len(oracle.partial)
        self.started = oracle.started
        self.outcomes = load.outcomes
        self.happened = happened
        self.settled = settled
        self.last_new_work_s = oracle.last_new_work_s


async def _settled(site, view):
    """Wait until as many groups serve as are wanted and possible."""

    def good():
        wanted = view.configuration.group["grp"].count
        world = site.world.targets
        room = sum(
            sum(name.startswith(prefix) for name in world) // 2 for prefix in "ab"
        )
        return len(view.grants(["grp"])) >= min(wanted, room)

    try:
        await site.wait_until(good, SETTLE_LIMIT_S)
    except TimeoutError:
        return False
    return True


@contextlib.contextmanager
def fixed_secrets(seed):
    """Make ids that are otherwise unguessable the same in every run."""
    rng = random.Random(f"secrets/{seed}")

    def token_hex(count=8):
        return rng.randbytes(count).hex()

    with mock.patch.object(secrets, "token_hex", token_hex):
        yield
