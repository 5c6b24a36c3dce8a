"""Randomised runs of coordinators that compete for the same engines."""

import asyncio
import contextlib
import random
from typing import NamedTuple
from unittest import mock

from cowslipcourse.emulator import Engine, Faults, SingleCoordinatorScope, World
from cowslipcourse.entry.coordinator import Coordinator
from cowslipcourse.entry.fleet_view import FleetView
from cowslipcourse.entry.model_shares import SHARES_TABLE
from cowslipcourse.entry.settings import ControlSettings
from cowslipcourse.entry.unloaded_components import AlwaysReachable
from cowslipcourse.exceptions import StoreError, TargetUnreachable
from cowslipcourse.group_plans import (
    AgreedShares,
    ObservedEngine,
    encode_shares,
    plan_inputs,
)
from cowslipcourse.group_plans import orders as group_orders
from cowslipcourse.group_plans import revision as group_revision
from cowslipcourse.group_plans.warm_up import is_warmup_group
from cowslipcourse.ports import RowWrite
from features.support.engine_world import MODELS, SERVICE, STALL_S, route_table

__all__ = [
    "DIVIDED_SITE",
    "SITES",
    "VARIANTS",
    "CoordinatorContext",
    "LeadershipBeliefs",
    "UnreliableEngineControl",
    "coordinator_run",
    "inject_engine_faults",
    "restore_store",
    "update_target_list",
    "update_target_list_late",
]

RUN_DURATION_S = 40.0
LIST_INTERVAL_S = 0.25
CALL_TIMEOUT_S = 0.15
RESTORE_INTERVAL_RANGE_S = (3.0, 12.0)
"""Range of the interval between two restores of the store from an older copy."""
MAX_COPY_AGE_S = 10.0
MAX_STORE_DOWNTIME_S = 2.0
REPEATED_RESTORE_FRACTION = 0.2
"""Fraction of restores that follow 0.5 s after the previous one."""
MAX_CUT_HEADS = 3


class ContentionSite(NamedTuple):
    """Site and kinds of faults of a run.

    :param domains: names of fabric domains; each model gets domains of its own if there
        are enough.
    :param engines_per_domain: engines in each domain.
    :param has_restarts: whether engines restart under their ids, and list entries of
        earlier incarnations arrive late.
    :param has_renames: whether engines restart under new ids at their addresses.
    :param has_overload: whether coordinators are overloaded at times, so that most of
        their report requests time out.
    :param coordinator_count: number of coordinators.
    :param has_restores: whether the store is restored from older copies of its rows.
    :param has_share_changes: whether agreed shares of the models change at times.
    """

    domains: tuple[str, ...]
    engines_per_domain: int
    has_restarts: bool = False
    has_renames: bool = False
    has_overload: bool = False
    coordinator_count: int = 2
    has_restores: bool = False
    has_share_changes: bool = False


MIXED_SITE = ContentionSite(("d1", "d2"), 8)
DIVIDED_SITE = ContentionSite(("d1", "d2", "d3", "d4", "d5", "d6"), 6)
SITES = {
    "mixed": MIXED_SITE,
    "divided": DIVIDED_SITE,
    "mixed restarting": MIXED_SITE._replace(has_restarts=True),
    "divided restarting": DIVIDED_SITE._replace(has_restarts=True),
    "mixed renaming": MIXED_SITE._replace(has_restarts=True, has_renames=True),
    "divided renaming": DIVIDED_SITE._replace(has_restarts=True, has_renames=True),
    "mixed overloaded": MIXED_SITE._replace(has_overload=True, coordinator_count=4),
    "mixed restored": MIXED_SITE._replace(has_restores=True),
    "divided restored": DIVIDED_SITE._replace(has_restores=True),
    "mixed restarting and restored": MIXED_SITE._replace(
        has_restarts=True, has_restores=True
    ),
    "divided overloaded": DIVIDED_SITE._replace(has_overload=True, coordinator_count=4),
    "mixed with changing shares": MIXED_SITE._replace(has_share_changes=True),
    "divided with changing shares": DIVIDED_SITE._replace(has_share_changes=True),
    "divided restored with changing shares": DIVIDED_SITE._replace(
        has_restores=True, has_share_changes=True
    ),
}
SHARE_CHANGE_INTERVAL_RANGE_S = (2.0, 8.0)
"""Range of the interval between two changes of the agreed shares."""
RESTART_FRACTION = 0.6
"""Fraction of engine faults that are restarts, on sites that have them."""
INSTANT_RESTART_FRACTION = 0.5
"""Fraction of restarts without downtime, which no coordinator sees as silence."""
MAX_RESTART_DOWNTIME_S = 6.0
UNANSWERED_FRACTION = 0.85
"""Fraction of report requests that time out at an overloaded coordinator."""
DELAYED_LIST_FRACTION = 0.2
MAX_LIST_DELAY_S = 5.0
"""Highest additional delay of the target list at an overloaded coordinator."""
STALE_ENTRY_FRACTION = 0.3
"""Fraction of list updates that an entry of an earlier incarnation follows."""


class CoordinatorContext:
    """Provides the configuration and the fleet of a daemon."""

    def __init__(self):
        self.reachability = AlwaysReachable()
        self.table = route_table()
        self.fleet = FleetView()


class UnreliableEngineControl:
    """A coordinator's connections to engines, some of which fail for a while.

    Implements :class:`~cowslipcourse.ports.EngineControl`.
    """

    def __init__(self, world, rng):
        self._world = world
        self._rng = rng
        self._cut_ids = set()
        self._is_overloaded = False

    def mend(self):
        """End all failures of connections."""
        self._cut_ids = set()
        self._is_overloaded = False

    async def run_overload(self):
        """Let most report requests to any engine time out at times."""
        while True:
            await asyncio.sleep(self._rng.uniform(0.5, 6.0))
            self._is_overloaded = True
            await asyncio.sleep(self._rng.uniform(0.3, 3.0))
            self._is_overloaded = False

    async def run_cuts(self):
        """Cut off heads now and then: reports of heads matter most to decisions."""
        while True:
            await asyncio.sleep(self._rng.uniform(0.5, 3.0))
            heads = [e.id for e in self._world.engines.values() if e.is_head]
            self._cut_ids = set(self._rng.sample(heads, min(len(heads), MAX_CUT_HEADS)))
            await asyncio.sleep(self._rng.uniform(0.3, 2.0))
            self._cut_ids = set()

    async def report(self, entry):
        await self._raise_if_cut(entry)
        if self._is_overloaded and self._rng.random() < UNANSWERED_FRACTION:
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise TargetUnreachable(
                "no report in time: the coordinator is overloaded", sent=True
            )
        return await self._world.report(entry)

    async def order(self, entry, order):
        await self._raise_if_cut(entry)
        return await self._world.order(entry, order)

    async def _raise_if_cut(self, entry):
        if entry.id in self._cut_ids:
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise TargetUnreachable("the connection to the engine is cut", sent=False)


class LeadershipBeliefs:
    """Which processes believe to be the coordinator: one, several or none.

    :param rng: :class:`random.Random`
    :param coordinator_count: number of processes.
    """

    def __init__(self, rng, coordinator_count):
        self._rng = rng
        self._coordinator_count = coordinator_count
        self.is_coordinator = [True] + [False] * (coordinator_count - 1)

    async def run(self):
        while True:
            await asyncio.sleep(self._rng.uniform(1.0, 6.0))
            if self._coordinator_count > 2:
                self.is_coordinator = [
                    self._rng.random() < 0.7 for _ in self.is_coordinator
                ]
                continue
            self.is_coordinator = self._rng.choice(
                [[True, False], [False, True], [True, True], [True, True]]
            )


async def update_target_list(world, coordinator, context):
    """Apply the current target list to a coordinator at a fixed interval."""
    while True:
        await asyncio.sleep(LIST_INTERVAL_S)
        coordinator.domains.update_entries(world.entries())
        context.fleet.apply(world.entries(), ())


async def update_target_list_late(world, coordinator, fleet, rng, site):
    """Apply the target list to a coordinator, with delays and outdated entries."""
    previous_ids = set()
    while True:
        await asyncio.sleep(LIST_INTERVAL_S)
        entries = world.entries()
        await asyncio.sleep(rng.choice([0.0, 0.05, 0.8]))
        if site.has_overload and rng.random() < DELAYED_LIST_FRACTION:
            await asyncio.sleep(rng.uniform(1.0, MAX_LIST_DELAY_S))
        current_ids = {entry.id for entry in entries}
        coordinator.domains.mark_unlisted(previous_ids - current_ids)
        coordinator.domains.update_entries(entries)
        fleet.apply(entries, previous_ids - current_ids)
        previous_ids = current_ids
        if (
            site.has_restarts
            and world.past_entries
            and rng.random() < STALE_ENTRY_FRACTION
        ):
            coordinator.domains.update_entries([rng.choice(world.past_entries[-5:])])


def _restart_engine(world, engine, rng, site):
    """Restart an engine, at once or after a downtime."""
    restart = world.restart_under_new_id if site.has_renames else world.restart
    if rng.random() < INSTANT_RESTART_FRACTION:
        restart(engine)
        return
    engine.is_unreachable = True
    engine.membership = None
    downtime_s = rng.uniform(0.2, MAX_RESTART_DOWNTIME_S)
    asyncio.get_running_loop().call_later(downtime_s, restart, engine)


async def restore_store(world, rng):
    """Restore the store from older copies at random times."""
    while True:
        is_repeated = rng.random() < REPEATED_RESTORE_FRACTION
        await asyncio.sleep(
            0.5 if is_repeated else rng.uniform(*RESTORE_INTERVAL_RANGE_S)
        )
        age_s, downtime_s = (
            rng.uniform(0.5, MAX_COPY_AGE_S),
            rng.uniform(0, MAX_STORE_DOWNTIME_S),
        )
        world.restore_older_copy(age_s, downtime_s)


async def change_shares(world, rng):
    """Write other shares of the models at random times."""
    declared = {model.name: model.share for model in MODELS}
    while True:
        await asyncio.sleep(rng.uniform(*SHARE_CHANGE_INTERVAL_RANGE_S))
        large = round(rng.uniform(0.3, 0.8), 4)
        shares = {"large": large, "small": round(1 - large, 4)}
        row = encode_shares(AgreedShares(declared, shares))
        with contextlib.suppress(StoreError):
            await world.write(RowWrite(SHARES_TABLE, SERVICE, row))


async def inject_engine_faults(world, site, rng):
    """Make engines unreachable, remove, replace, restart and add them.

    Intervals are inversely proportional to the number of domains.
    """
    interval_factor = len(MIXED_SITE.domains) / len(site.domains)
    while True:
        await asyncio.sleep(interval_factor * rng.uniform(0.8, 3.0))
        reachable = [e for e in world.engines.values() if not e.is_unreachable]
        if len(reachable) <= len(site.domains) * site.engines_per_domain / 2:
            world.add_engine(rng.choice(site.domains))
            continue
        engine = rng.choice(reachable)
        if site.has_restarts and rng.random() < RESTART_FRACTION:
            _restart_engine(world, engine, rng, site)
            continue
        engine.is_unreachable = True
        draw = rng.random()
        if draw < 0.4:
            # A partition: the engine returns with its state.
            downtime_s = rng.uniform(0.5, 9.0)
            asyncio.get_running_loop().call_later(
                downtime_s, setattr, engine, "is_unreachable", False
            )
        elif draw < 0.7:
            del world.engines[engine.id]
            world.add_engine(engine.domain, engine.staged)
        else:
            del world.engines[engine.id]


async def coordinator_run(seed, site=MIXED_SITE):
    """Make one run and return its :class:`~cowslipcourse.emulator.World`.

    :param seed: seed of all random choices.
    :param site: :class:`ContentionSite`
    """
    rng = random.Random(seed)
    world = World(rng, Faults(), MODELS)
    world.reports_incarnations = not site.has_renames
    for domain in site.domains:
        for _ in range(site.engines_per_domain):
            world.add_engine(domain)
    beliefs = LeadershipBeliefs(rng, site.coordinator_count)
    shares = "observed" if site.has_share_changes else "declared"
    settings = ControlSettings(stall_s=STALL_S, shares=shares)
    coroutines = [beliefs.run(), world.run(), inject_engine_faults(world, site, rng)]
    if site.has_restores:
        coroutines.append(restore_store(world, random.Random(f"restored {seed}")))
    if site.has_share_changes:
        coroutines.append(change_shares(world, random.Random(f"shares {seed}")))
    for number in range(site.coordinator_count):
        control = UnreliableEngineControl(world, rng)
        coroutines.append(control.run_cuts())
        if site.has_overload:
            coroutines.append(control.run_overload())
        context = CoordinatorContext()
        coordinator = Coordinator(
            context,
            world,
            control,
            settings,
            SingleCoordinatorScope(
                lambda number=number: beliefs.is_coordinator[number]
            ),
            lambda update: None,
        )
        list_updates = update_target_list_late(
            world, coordinator, context.fleet, rng, site
        )
        coroutines += [coordinator.run(), list_updates]
        if site.has_share_changes:
            coroutines.append(coordinator.shares.run())
    tasks = [asyncio.create_task(coroutine) for coroutine in coroutines]
    await asyncio.sleep(RUN_DURATION_S)
    for task in tasks:
        task.cancel()
    for result in await asyncio.gather(*tasks, return_exceptions=True):
        if not isinstance(result, asyncio.CancelledError):
            raise result
    return world


@contextlib.contextmanager
def _open_before_ready():
    """Open a head before every member has reported ready."""
    original_form = group_orders._form

    def form(group, engines, models, now):
        members = [engines[member] for member in group.members]
        if members[0].was_ready(group):
            return group_orders._open(group, members[0], now)
        return original_form(group, engines, models, now)

    with mock.patch.object(group_orders, "_form", form):
        yield


@contextlib.contextmanager
def _reassign_before_leave():
    """Treat engines as free that are still in a group of another plan."""
    original_is_free = plan_inputs.is_free

    def is_free(plan, observed, engine, stall_s):
        if plan.group_of(engine.id, engine.incarnation) is None:
            return True
        return original_is_free(plan, observed, engine, stall_s)

    with (
        mock.patch.object(plan_inputs, "is_free", is_free),
        mock.patch.object(
            group_orders, "_leave_unplanned_groups", lambda plan, engines: []
        ),
        _join_serving_engines(),
    ):
        yield


@contextlib.contextmanager
def _reuse_epochs():
    """Keep the epoch of a repaired group."""
    original_make = group_revision._Revision.make

    def make(self, model_demands, changes):
        epochs = {group.name: group.epoch for group in self._groups.values()}
        groups = original_make(self, model_demands, changes)
        return tuple(
            group._replace(epoch=epochs.get(group.name, group.epoch))
            for group in groups
        )

    with mock.patch.object(group_revision._Revision, "make", make):
        yield


def _join_serving_engines():
    """Join members although they may still serve in another group."""
    return mock.patch.object(group_orders, "_serving_elsewhere", lambda *args: [])


@contextlib.contextmanager
def _free_members_of_silent_heads():
    """Treat silence of a retired group's head as proof that it does not serve."""
    original_is_free = plan_inputs.is_free

    def is_free(plan, observed, engine, stall_s):
        group = plan.group_of(engine.id, engine.incarnation)
        if group is None or not group.is_retired:
            return original_is_free(plan, observed, engine, stall_s)
        head = observed.engines.get(group.head)
        if head is None or head.silent_since is not None:
            return True
        return original_is_free(plan, observed, engine, stall_s)

    with mock.patch.object(plan_inputs, "is_free", is_free), _join_serving_engines():
        yield


@contextlib.contextmanager
def _accept_outdated_reports():
    """Accept reports from before a group's end, and join all planned members."""
    with (
        mock.patch.object(
            ObservedEngine, "require_evidence_since", lambda self, now: None
        ),
        _join_serving_engines(),
    ):
        yield


@contextlib.contextmanager
def _merge_incarnations():
    """Report the same incarnation for all incarnations of an engine."""
    entry, report = Engine.entry, Engine.report
    with (
        mock.patch.object(Engine, "entry", lambda e: entry(e)._replace(incarnation=1)),
        mock.patch.object(
            Engine, "report", lambda e: report(e)._replace(incarnation=1)
        ),
    ):
        yield


@contextlib.contextmanager
def _plan_without_incarnations():
    """Plan engines by id without their incarnations."""
    with mock.patch.object(
        group_revision._Revision, "_incarnations_of", lambda self, members: ()
    ):
        yield


@contextlib.contextmanager
def _delete_silent_groups():
    """Delete groups whose members are all silent; free engines by the list alone."""
    original_is_free = plan_inputs.is_free

    def drop_silent(self):
        for group in list(self._groups.values()):
            if group.is_retired or self._live_members(group):
                continue
            if not self._is_still_serving(group):
                del self._groups[group.name]

    def is_free(plan, observed, engine, stall_s):
        if plan.group_of(engine.id, engine.incarnation) is None:
            return engine.membership is None or is_warmup_group(engine.membership)
        return original_is_free(plan, observed, engine, stall_s)

    with (
        mock.patch.object(group_revision._Revision, "_drop_unlisted", drop_silent),
        mock.patch.object(plan_inputs, "is_free", is_free),
        _join_serving_engines(),
    ):
        yield


def _ignore_eras():
    """Compare store versions without their eras."""
    return mock.patch.object(World, "reports_eras", False)


VARIANTS = {
    "store eras ignored": _ignore_eras,
    "groups deleted while all members are silent": _delete_silent_groups,
    "incarnations not distinguished": _merge_incarnations,
    "engines planned without their incarnations": _plan_without_incarnations,
    "reports from before a group's end accepted": _accept_outdated_reports,
    "members freed while their head is silent": _free_members_of_silent_heads,
    "heads opened before all members reported ready": _open_before_ready,
    "engines reassigned before they left their group": _reassign_before_leave,
    "epochs reused": _reuse_epochs,
}
