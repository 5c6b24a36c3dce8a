"""Steps for single requests in the queue of one daemon."""

import asyncio
from types import SimpleNamespace

from behave import given, then, when
from support.waiting_site import (
    MODEL,
    SERVICE,
    SLOTS,
    TIMEOUT_S,
    WaitingSite,
    route_of,
)

from cowslipcourse.emulator.clock import run_in_virtual_time
from cowslipcourse.platform.headers import CallerHeaders
from cowslipcourse.routes import (
    CallerLimits,
    KeyedAccess,
    RouteTable,
    ServiceSpec,
    Workspace,
)

SOON_S = 0.05
WAITING_PRIORITIES = (1, 0, 2)
"""Priorities of the waiting requests in the order of their arrival."""


class _Queue:
    """One daemon with one group of which all slots are taken by its own requests."""

    def __init__(self, is_full=True):
        site = WaitingSite(1, 1.0)
        site.entries = site.entries[:1]
        self.entry = site.entries[0]
        site.run(self._take_daemon)
        self.daemon = site.daemons[0]
        self.is_full = is_full
        self.waiting = {}
        self.placed = []
        self.gauge = {}
        self.daemon.metrics = self

    async def _take_daemon(self, site):
        pass

    # Metrics.

    def change_waiting(self, priority, change):
        self.gauge[priority] = self.gauge.get(priority, 0) + change

    def observe_slot_wait(self, priority, expected_s, waited_s):
        pass

    # Requests.

    def fill(self):
        for _ in range(int(SLOTS * 1.2) + 1):
            self.daemon.fleet.request_started(self.entry.id)

    def free_slot(self):
        """End requests until there is room for one more."""
        in_flight = self.daemon.fleet.in_flight[self.entry.id]
        for _ in range(in_flight - SLOTS + 1):
            self.daemon.fleet.request_ended(self.entry.id)

    def ask(self, name, priority, left_s=TIMEOUT_S):
        task = asyncio.create_task(self._ask(name, priority, left_s))
        self.waiting[name] = task
        return task

    async def _ask(self, name, priority, left_s):
        arrived_at = _now()
        call = SimpleNamespace(
            id=name,
            route=route_of(priority),
            workspace=None,
            workspace_name=None,
            caller_headers=CallerHeaders(model=MODEL),
            arrived_at=arrived_at,
            deadline=arrived_at + left_s,
            waited_elsewhere_s=0.0,
            waited_s=lambda now: now - arrived_at,
        )
        progress = SimpleNamespace(call=call, has_events=False, slot_wait_s=0.0)
        async with asyncio.timeout_at(call.deadline):
            choice = await self.daemon.chooser.choose(progress, SERVICE, set())
        if choice.entry is not None:
            self.daemon.fleet.request_started(choice.entry.id)
            self.placed.append((name, _now()))
        return choice

    async def start(self):
        self.started_at = _now()
        if self.is_full:
            self.fill()
        for priority in WAITING_PRIORITIES:
            self.ask(f"p{priority}", priority)
        await asyncio.sleep(SOON_S)
        assert not self.placed

    async def end(self):
        for task in self.waiting.values():
            task.cancel()
        await asyncio.gather(*self.waiting.values(), return_exceptions=True)

    @property
    def placed_names(self):
        return [name for name, _ in self.placed]


def _now():
    return asyncio.get_running_loop().time()


def _run(context, scenario):
    queue = context.queue

    async def run():
        await queue.start()
        await scenario(queue)
        context.placed_names = list(queue.placed_names)
        context.gauge = dict(queue.gauge)
        await queue.end()

    run_in_virtual_time(run())


@given("a full group and requests that wait for it")
def step_full_group(context):
    context.queue = _Queue()


@when("the first of them is cancelled and a slot is freed")
def step_cancelled(context):
    async def scenario(queue):
        queue.waiting["p0"].cancel()
        await asyncio.sleep(0)
        queue.free_slot()
        await asyncio.sleep(SOON_S)

    _run(context, scenario)


@when("a slot is freed and the request that gets it is cancelled in the same moment")
def step_cancelled_when_placed(context):
    async def scenario(queue):
        queue.free_slot()
        await asyncio.sleep(0)
        queue.waiting["p0"].cancel()
        await asyncio.sleep(SOON_S)

    _run(context, scenario)


@then("the next one gets the slot at once")
def step_next(context):
    assert context.placed_names[0] == "p1", context.placed_names
    assert "p0" not in context.placed_names


@then("the request that was cancelled counts nowhere")
def step_counts_nowhere(context):
    assert not context.gauge[0], context.gauge


@when("the deadline of the first of them passes")
def step_deadline(context):
    async def scenario(queue):
        asked_at = _now()
        task = queue.ask("short", 0, left_s=0.2)
        await asyncio.gather(task, return_exceptions=True)
        context.ended_after_s = _now() - asked_at
        context.others_wait = not queue.waiting["p1"].done()

    _run(context, scenario)


@then("it ends at its deadline and the others go on waiting")
def step_ended(context):
    assert context.ended_after_s <= 0.2 + 1e-6, context.ended_after_s
    assert context.others_wait
    assert context.gauge[0] == 1, context.gauge


@when("all requests of the daemon are cancelled")
def step_all_cancelled(context):
    async def scenario(queue):
        await queue.end()
        fleet = queue.daemon.fleet
        for _ in range(fleet.in_flight[queue.entry.id]):
            fleet.request_ended(queue.entry.id)
        context.in_flight = dict(fleet.in_flight)
        queue.ask("later", 2)
        await asyncio.sleep(0)
        await asyncio.sleep(0)

    _run(context, scenario)


@then("nothing waits, nothing is in flight, and a later request is placed at once")
def step_nothing_left(context):
    assert not any(context.gauge.values()), context.gauge
    assert not context.in_flight
    assert context.placed_names == ["later"], context.placed_names


@when("one slot is freed")
def step_slot_freed(context):
    async def scenario(queue):
        queue.daemon.fleet.request_ended(queue.entry.id)
        await asyncio.sleep(SOON_S)

    _run(context, scenario)


@then("one request has got a slot, the most urgent")
def step_one_placed(context):
    assert context.placed_names == ["p0"], context.placed_names


def _time_to_place(context, scenario):
    queue = context.queue

    async def run():
        await scenario(queue)
        task = queue.waiting["p1"]
        await asyncio.wait((task,), timeout=2.0)
        context.placed_after_s = queue.placed[0][1] - queue.started_at

    run_in_virtual_time(run())


@given("a group that is withheld for {wait_s:g} s and a request that waits for it")
def step_withheld(context, wait_s):
    context.queue = _Queue(is_full=False)

    async def scenario(queue):
        queue.started_at = _now()
        queue.daemon.conditions.until[queue.entry.id] = _now() + wait_s
        queue.ask("p1", 1)

    _time_to_place(context, scenario)


@given("no group and a request that waits for one")
def step_no_group(context):
    context.queue = _Queue(is_full=False)
    context.queue.daemon.fleet.apply((), [context.queue.entry.id])


@when("a group opens after {wait_s:g} s")
def step_group_opens(context, wait_s):
    async def scenario(queue):
        queue.started_at = _now()
        queue.ask("p1", 1)
        await asyncio.sleep(wait_s)
        queue.daemon.fleet.apply([queue.entry], ())

    _time_to_place(context, scenario)


@then("the request is placed {wait_s:g} s later")
def step_placed_later(context, wait_s):
    assert wait_s - 1e-6 <= context.placed_after_s <= wait_s + 0.02, (
        context.placed_after_s
    )


@given(
    "routes of priorities {routes} to one service and workspaces of priorities "
    "{workspaces}"
)
def step_routes(context, routes, workspaces):
    table_routes = [
        route_of(int(priority))._replace(prefix=f"/{index}/")
        for index, priority in enumerate(routes.split(","))
    ]
    names = [] if workspaces == "-" else workspaces.split(",")
    keys = {
        f"k{index}": Workspace(f"w{index}", None if name == "none" else int(name))
        for index, name in enumerate(names)
    }
    spec = ServiceSpec(SERVICE)
    context.route_table = RouteTable(
        1, table_routes, [spec], CallerLimits(), KeyedAccess(keys)
    )


@then("the service has {turns}")
def step_has_turns(context, turns):
    has_turns = len(context.route_table.priorities(SERVICE)) > 1
    assert has_turns == (turns == "turns")


@when("counts of peers are negative, priorities huge, and a time budget is over")
def step_bad_values(context):
    async def scenario(queue):
        queue.ask("huge", 10**9)
        queue.ask("over", 0, left_s=-1.0)
        await asyncio.sleep(SOON_S)
        queue.daemon.fleet.set_peers_in_flight({queue.entry.id: -1, "": -5})
        queue.daemon.fleet.notify_room_changed()
        queue.free_slot()
        await asyncio.sleep(SOON_S)

    _run(context, scenario)


@then("requests with sound values are still placed")
def step_sound_placed(context):
    assert "p0" in context.placed_names, context.placed_names
    assert "over" not in context.placed_names
