"""Randomised fault injection into controllers, engines and a gateway.

An oracle checks the state of the engines and of the table directly, every 0.1 s and
for each request that an engine starts.
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

CHECK_INTERVAL_S = 0.1
GRANT_DURATION_S = 3.0
MAX_NEW_WORK_AFTER_LEAVING_S = 6.0
RECOVERY_TIMEOUT_S = 240.0


class Oracle:
    """Checks the invariants of groups and collects violations.

    :param site: :class:`InProcessSite`
    """

    def __init__(self, site):
        self._site = site
        self._last_complete_at = {}
        self._checked_event_counts = {}
        self._leaving_since = {}
        self.violations = []
        self.incomplete_starts = {}
        self.started_requests = set()
        self.started_count = 0
        self.max_new_work_delay_s = 0.0

    async def run(self):
        """Check at a fixed interval until cancelled."""
        while True:
            self.check()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def check(self):
        """Check all invariants once."""
        self._record_complete_groups()
        self._check_table()
        self._check_grants()
        self._check_started_requests()

    def _add_violation(self, *violation):
        self.violations.append((round(now(), 2), *violation))

    def _record_complete_groups(self):
        world = self._site.world
        for engine in [*world.targets.values(), *world.removed.values()]:
            if not getattr(engine, "members", ()):
                continue
            if world.all_members_ready(engine.members, engine.assignment):
                assigned = engine.assignment
                self._last_complete_at[(assigned["group"], assigned["epoch"])] = now()

    def _check_table(self):
        group_by_vm = {}
        claims = [Claim(*row) for row in self._site.rows("vm/").values()]
        claimed_groups = {c.vm: c.group for c in claims if not c.releasing}
        for row in self._site.rows("group/").values():
            spec = GroupSpec(*row)
            for vm, *_ in spec.members:
                other = group_by_vm.setdefault(vm, spec.group)
                if other != spec.group:
                    self._add_violation("one VM in two groups", vm, other, spec.group)
                if claimed_groups.get(vm) != spec.group:
                    self._add_violation("a member without its claim", vm, spec.group)

    def _check_grants(self):
        for gateway in self._site.gateways.values():
            if not gateway.gate.is_open:
                continue
            group_by_vm = {}
            for grant in gateway.view.group_grants(["grp"]):
                spec = grant.report.spec
                for vm in spec.vm_names:
                    other = group_by_vm.setdefault(vm, spec.group)
                    if other != spec.group:
                        self._add_violation("two groups granted on one VM", vm, other)

    def _check_started_requests(self):
        world = self._site.world
        for name, target in [*world.targets.items(), *world.removed.items()]:
            is_leaving = name in world.removed or target.vm["state"] == "leaving"
            if not is_leaving or world.list_faults["frozen"]:
                # While the VM list is frozen, gateways cannot learn that the VM leaves.
                self._leaving_since.pop(name, None)
            else:
                self._leaving_since.setdefault(name, now())
            # Histories survive restarts, so each event is checked once.
            for event in target.history[self._checked_event_counts.get(name, 0) :]:
                if event["event"] == "generate":
                    self._check_start(name, event)
            self._checked_event_counts[name] = len(target.history)

    def _check_start(self, name, event):
        self.started_count += 1
        self.started_requests.add(event["request"])
        if not event["all_present"]:
            group_epoch = (event["group"], event["epoch"])
            last_complete_at = self._last_complete_at.get(group_epoch)
            if (
                last_complete_at is None
                or event["at"] - last_complete_at
                > GRANT_DURATION_S + 2 * CHECK_INTERVAL_S
            ):
                violation = (
                    round(now(), 2),
                    "served without all members",
                    *group_epoch,
                    last_complete_at,
                )
                self.incomplete_starts[event["attempt"]] = violation
        leaving_since = self._leaving_since.get(name)
        if leaving_since is not None:
            delay_s = event["at"] - leaving_since
            self.max_new_work_delay_s = max(self.max_new_work_delay_s, delay_s)
            if delay_s > MAX_NEW_WORK_AFTER_LEAVING_S:
                self._add_violation("new work on a leaving VM", name, delay_s)


class RequestLoad:
    """Sends requests through all gateways and checks each answer.

    :param site: :class:`InProcessSite`
    :param interval_s: seconds between two rounds of requests.
    """

    def __init__(self, site, interval_s=0.2):
        self._site = site
        self._interval_s = interval_s
        self._tasks = set()
        self.outcomes = {}
        self.violations = []
        self.attempts = set()
        self.reported_not_run = set()

    async def run(self):
        """Send requests until cancelled."""
        round_number = 0
        while True:
            round_number += 1
            for gateway in list(self._site.gateways.values()):
                task = asyncio.create_task(
                    self._send_request(gateway, f"r{round_number}")
                )
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._interval_s)

    async def finish(self):
        """Wait for the requests in flight."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _send_request(self, gateway, request_id):
        body = chat_body(request_id, "m", 12)
        call = Call(request_id, "crew", Priority.NORMAL, None, "", None)
        chunks = []
        outcome, generation = "completed", None
        try:
            await gateway.gate.pass_message()
            gateway.agent.require_serving()
            declarations = gateway.chooser.admit(call, "m")
            generation = Generation(call, body, declarations, gateway.context)
            async for chunk in generation.chunks():
                chunks.append(chunk)
        except RequestError as error:
            outcome = error.outcome
        if generation is not None:
            self.attempts.update(generation.used_attempts)
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
        expected = answer_words(body)
        received = [_token_of(e) for piece in chunks for e in piece.split(b"\n\n")[:-1]]
        if outcome == "completed" and received != expected:
            self.violations.append((request_id, "incomplete answer", received))
        if received != expected[: len(received)]:
            self.violations.append((request_id, "wrong answer", received))
        if outcome == "not_run":
            self.reported_not_run.add(request_id)


def _token_of(event):
    chunk = json.loads(event.removeprefix(b"data: "))
    return chunk["choices"][0]["delta"]["content"]


def vm_specs(fenced):
    """Return VM specifications of two domains with room for two groups of two each.

    :param fenced: whether the engines check fencing tokens.
    """
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


class FaultInjector:
    """Injects random faults into a site.

    :param site: :class:`InProcessSite`
    :param rng: :class:`random.Random`
    """

    def __init__(self, site, rng):
        self._site = site
        self._rng = rng
        self._model_version = 1

    def random_engine(self):
        """Return the name of a random engine that is still listed."""
        engines = [n for n, t in self._site.world.targets.items() if n[0] != "s"]
        return self._rng.choice(engines)

    async def inject_one(self):
        """Inject one fault and return its name."""
        weights = self.weights()
        inject = self._rng.choices(list(weights), list(weights.values()))[0]
        await inject()
        return inject.__name__

    def weights(self):
        """Return the relative frequency of each fault."""
        return {
            self.kill_engine: 4,
            self.restart_engine: 4,
            self.toggle_engine_pause: 3,
            self.start_leaving: 2,
            self.remove_engine: 1,
            self.toggle_controller_pause: 4,
            self.crash_controller: 3,
            self.toggle_controller_partition: 2,
            self.toggle_gateway_pause: 2,
            self.toggle_table: 3,
            self.lose_replies: 3,
            self.toggle_list_freeze: 1,
            self.delay_orders: 2,
            self.deploy_model_version: 2,
            self.change_group_count: 2,
            self.repair: 4,
        }

    async def kill_engine(self):
        self._site.world.targets[self.random_engine()].faults["dead"] = True

    async def restart_engine(self):
        self._site.world.change_vm(self.random_engine(), "restart")

    async def toggle_engine_pause(self):
        faults = self._site.world.targets[self.random_engine()].faults
        faults["frozen"] = not faults["frozen"]

    async def start_leaving(self):
        name = self.random_engine()
        self._site.world.targets[name].faults["ignore_leaving"] = True
        self._site.world.change_vm(name, "leave")

    async def remove_engine(self):
        if len(self._site.world.targets) > 9:
            self._site.world.change_vm(self.random_engine(), "remove")

    def _random_controller(self):
        return self._rng.choice(list(self._site.controllers))

    async def toggle_controller_pause(self):
        gate = self._site.controllers[self._random_controller()].gate
        gate.open() if not gate.is_open else gate.shut()

    async def crash_controller(self):
        await self._site.restart(self._random_controller())

    async def toggle_controller_partition(self):
        platform = self._site.controllers[self._random_controller()].platform
        platform.cut = not platform.cut

    async def toggle_gateway_pause(self):
        gate = self._rng.choice(list(self._site.gateways.values())).gate
        gate.open() if not gate.is_open else gate.shut()

    async def toggle_table(self):
        faults = self._site.world.table.faults
        faults["down"] = not faults["down"]
        faults["slow_s"] = self._rng.choice((0.0, 0.0, 0.5))

    async def lose_replies(self):
        self._site.world.table.faults["lose_replies"] = self._rng.randint(1, 4)

    async def toggle_list_freeze(self):
        faults = self._site.world.list_faults
        faults["frozen"] = not faults["frozen"]

    async def delay_orders(self):
        faults = self._site.world.targets[self.random_engine()].faults
        faults["order_delay_s"] = self._rng.choice((0.0, 0.5, 1.5))

    async def deploy_model_version(self):
        self._model_version += 1
        version = str(self._model_version)
        model = change("model", "m", version=version, weights_bytes=50_000_000)
        await self._edit(model)

    async def change_group_count(self):
        await self._edit(*base_changes(2, self._rng.choice((2, 3, 4)))[2:3])

    async def _edit(self, *changes):
        with contextlib.suppress(CowslipError, TimeoutError):
            async with asyncio.timeout(5.0):
                await self._site.edit(self._random_controller(), *changes)

    async def repair(self):
        """Undo every fault that an operator would repair."""
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


class AnswerFaultInjector(FaultInjector):
    """Injects faults of answers: wrong attempt, lost or repeated tokens, truncation."""

    def weights(self):
        """See :class:`FaultInjector`."""
        return {
            self.corrupt_answers: 12,
            self.refuse_requests: 4,
            self.kill_engine: 1,
            self.crash_controller: 1,
            self.repair: 2,
        }

    async def corrupt_answers(self):
        knobs = ("wrong_attempt", "skip_token", "repeat_token", "no_end", "break_early")
        knob = self._rng.choice(knobs)
        faults = self._site.world.targets[self.random_engine()].faults
        faults[knob] = self._rng.randint(1, 6)

    async def refuse_requests(self):
        for target in self._site.world.targets.values():
            target.faults["refuse"] = self._rng.choice(("", "busy"))


async def group_run(seed, fault_count=40, fenced=None, injector_type=FaultInjector):
    """Inject random faults into a site under load.

    :param seed: seed of all random choices.
    :param fault_count: number of faults.
    :param fenced: whether targets check fencing tokens; chosen by the seed if ``None``.
    :param injector_type: :class:`FaultInjector` or a subclass.
    :returns: :class:`GroupRunResult`
    """
    rng = random.Random(seed)
    random.seed(seed)
    fenced = rng.random() < 0.5 if fenced is None else fenced
    site = InProcessSite(seed, vm_specs(fenced), ("c1", "c2", "c3"), ("g1",))
    site.world.leaders_detect_loss = False
    await site.start()
    changes = base_changes(2, 4)
    if not fenced:
        changes += (change("site", "site", unfenced_targets="pool"),)
    oracle, load = Oracle(site), RequestLoad(site)
    tasks = [asyncio.create_task(oracle.run())]
    await site.edit("c1", *changes)
    view = site.gateways["g1"].view
    await site.wait_until(lambda: len(view.group_grants(["grp"])) == 4)
    tasks.append(asyncio.create_task(load.run()))
    injector = injector_type(site, rng)
    injected_faults = []
    for _ in range(fault_count):
        injected_faults.append((round(now(), 1), await injector.inject_one()))
        await asyncio.sleep(rng.choice((0.2, 0.7, 1.5, 3.0, 6.0, 9.0)))
    await injector.repair()
    has_recovered = await _wait_for_recovery(site, view)
    for task in tasks:
        task.cancel()
    await load.finish()
    oracle.check()
    await site.stop()
    return GroupRunResult(seed, oracle, load, injected_faults, has_recovered)


class GroupRunResult:
    """Violations and statistics of one run."""

    def __init__(self, seed, oracle, load, injected_faults, has_recovered):
        self.seed = seed
        from_incomplete_groups = [
            v
            for attempt, v in oracle.incomplete_starts.items()
            if attempt in load.attempts
        ]
        false_not_run = [
            (request_id, "reported as not run, but ran")
            for request_id in load.reported_not_run & oracle.started_requests
        ]
        self.violations = [
            *oracle.violations,
            *load.violations,
            *from_incomplete_groups,
            *false_not_run,
        ]
        self.incomplete_start_count = len(oracle.incomplete_starts)
        self.started_count = oracle.started_count
        self.outcomes = load.outcomes
        self.injected_faults = injected_faults
        self.has_recovered = has_recovered
        self.max_new_work_delay_s = oracle.max_new_work_delay_s


async def _wait_for_recovery(site, view):
    """Wait until as many groups serve as are configured and the VMs left allow."""

    def all_groups_serve():
        configured = view.configuration.group["grp"].count
        targets = site.world.targets
        capacity = sum(
            sum(name.startswith(prefix) for name in targets) // 2 for prefix in "ab"
        )
        return len(view.group_grants(["grp"])) >= min(configured, capacity)

    try:
        await site.wait_until(all_groups_serve, RECOVERY_TIMEOUT_S)
    except TimeoutError:
        return False
    return True


@contextlib.contextmanager
def fixed_secrets(seed):
    """Replace random ids by a sequence that depends on the seed alone."""
    rng = random.Random(f"secrets/{seed}")

    def token_hex(count=8):
        return rng.randbytes(count).hex()

    with mock.patch.object(secrets, "token_hex", token_hex):
        yield
