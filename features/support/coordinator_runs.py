"""Random runs of two coordinators that duel over the same engines."""

import asyncio
import contextlib
import random
from typing import NamedTuple
from unittest import mock

from cowslipcourse.emulator import Engine, Faults, WholeSite, World
from cowslipcourse.entry.coordinator import Coordinator
from cowslipcourse.entry.fleet import FleetView
from cowslipcourse.entry.settings import ControlSettings
from cowslipcourse.exceptions import TargetUnreachable
from cowslipcourse.groups import ObservedEngine, situation
from cowslipcourse.groups import orders as group_orders
from cowslipcourse.groups import revision as group_revision
from cowslipcourse.groups.practice import is_warmup_group
from features.support.engine_world import MODELS, STALL_S, route_table

__all__ = [
    "DIVIDED_SITE",
    "SITES",
    "VARIANTS",
    "ListedTools",
    "bring_list",
    "coordinator_run",
]

RUN_S = 40.0
LIST_S = 0.25
LINK_TIMEOUT_S = 0.15
RESTORED_S = (3.0, 12.0)
"""Time between two moments at which the store comes back older."""
OLDEST_COPY_S = 10.0
LONGEST_AWAY_S = 2.0
AGAIN_SHARE = 0.2
"""Share of such moments that are followed by another one half a second later."""
CUT_AT_ONCE = 3


class DuelSite(NamedTuple):
    """What a run begins with.

    :param domains: names of fabric domains; each model gets domains of its own if there
        are enough.
    :param engines: engines in each.
    :param restarts: whether engines start again under their ids, and entries of their
        earlier lives come late.
    :param renames: whether they start again under other ids at their addresses instead.
    :param restores: whether the store comes back from older copies of its rows.
    :param overloads: whether coordinators are overloaded at times, so that answers to
        most of their questions come too late.
    """

    domains: tuple[str, ...]
    engines: int
    restarts: bool = False
    renames: bool = False
    overloads: bool = False
    coordinators: int = 2
    restores: bool = False


MIXED_SITE = DuelSite(("d1", "d2"), 8)
DIVIDED_SITE = DuelSite(("d1", "d2", "d3", "d4", "d5", "d6"), 6)
SITES = {
    "mixed": MIXED_SITE,
    "divided": DIVIDED_SITE,
    "mixed restarting": MIXED_SITE._replace(restarts=True),
    "divided restarting": DIVIDED_SITE._replace(restarts=True),
    "mixed renaming": MIXED_SITE._replace(restarts=True, renames=True),
    "divided renaming": DIVIDED_SITE._replace(restarts=True, renames=True),
    "mixed overloaded": MIXED_SITE._replace(overloads=True, coordinators=4),
    "mixed restored": MIXED_SITE._replace(restores=True),
    "divided restored": DIVIDED_SITE._replace(restores=True),
    "mixed restarting and restored": MIXED_SITE._replace(restarts=True, restores=True),
    "divided overloaded": DIVIDED_SITE._replace(overloads=True, coordinators=4),
}
RESTART_SHARE = 0.6
"""Share of disturbances that are restarts, on sites that have them."""
QUICK_SHARE = 0.5
"""Share of restarts that nobody sees as a silence."""
LONGEST_DOWN_S = 6.0
UNHEARD_SHARE = 0.85
"""Share of questions whose answers come too late for an overloaded coordinator."""
OLD_LIST_SHARE = 0.2
OLDEST_LIST_S = 5.0
"""The list reaches an overloaded coordinator that late at times."""
OLD_ENTRY_SHARE = 0.3
"""Share of readings of the list with an entry of an earlier life after them."""


class ListedTools:
    """What a coordinator knows besides the engines."""

    def __init__(self):
        self.table = route_table()
        self.fleet = FleetView()


class _Links:
    """A coordinator's own links to engines, some of which are cut for a while.

    It meets :class:`~cowslipcourse.ports.EngineControl`.
    """

    def __init__(self, world, rng):
        self._world = world
        self._rng = rng
        self._cut = set()
        self._is_overloaded = False

    async def overload(self):
        """Let most questions go unanswered at times, whoever is asked."""
        while True:
            await asyncio.sleep(self._rng.uniform(0.5, 6.0))
            self._is_overloaded = True
            await asyncio.sleep(self._rng.uniform(0.3, 3.0))
            self._is_overloaded = False

    async def run(self):
        """Cut off heads of groups now and then: what they do decides most."""
        while True:
            await asyncio.sleep(self._rng.uniform(0.5, 3.0))
            heads = [e.id for e in self._world.engines.values() if e.is_head]
            self._cut = set(self._rng.sample(heads, min(len(heads), CUT_AT_ONCE)))
            await asyncio.sleep(self._rng.uniform(0.3, 2.0))
            self._cut = set()

    async def report(self, entry):
        await self._pass(entry)
        if self._is_overloaded and self._rng.random() < UNHEARD_SHARE:
            await asyncio.sleep(LINK_TIMEOUT_S)
            raise TargetUnreachable("too late", sent=True)
        return await self._world.report(entry)

    async def order(self, entry, order):
        await self._pass(entry)
        return await self._world.order(entry, order)

    async def _pass(self, entry):
        if entry.id in self._cut:
            await asyncio.sleep(LINK_TIMEOUT_S)
            raise TargetUnreachable("cut off", sent=False)


class _Duel:
    """Who believes to be the coordinator: mostly one, at times several or none.

    :param rng: :class:`random.Random`
    :param number: of coordinators.
    """

    def __init__(self, rng, number):
        self._rng = rng
        self._number = number
        self.acting = [True] + [False] * (number - 1)

    async def run(self):
        while True:
            await asyncio.sleep(self._rng.uniform(1.0, 6.0))
            if self._number > 2:
                self.acting = [self._rng.random() < 0.7 for _ in self.acting]
                continue
            self.acting = self._rng.choice(
                [[True, False], [False, True], [True, True], [True, True]]
            )


async def bring_list(world, coordinator, tools):
    """Bring the list to a coordinator as it is."""
    while True:
        await asyncio.sleep(LIST_S)
        coordinator.domains.update_entries(world.entries())
        tools.fleet.apply(world.entries(), ())


async def _list(world, coordinator, fleet, rng, site):
    """Bring the list to a coordinator, late at times."""
    listed = set()
    while True:
        await asyncio.sleep(LIST_S)
        entries = world.entries()
        await asyncio.sleep(rng.choice([0.0, 0.05, 0.8]))
        if site.overloads and rng.random() < OLD_LIST_SHARE:
            await asyncio.sleep(rng.uniform(1.0, OLDEST_LIST_S))
        present = {entry.id for entry in entries}
        coordinator.domains.mark_unlisted(listed - present)
        coordinator.domains.update_entries(entries)
        fleet.apply(entries, listed - present)
        listed = present
        if site.restarts and world.past_entries and rng.random() < OLD_ENTRY_SHARE:
            coordinator.domains.update_entries([rng.choice(world.past_entries[-5:])])


def _restart(world, engine, rng, site):
    """Let an engine start again, at once or after a while."""
    restart = world.rename if site.renames else world.restart
    if rng.random() < QUICK_SHARE:
        restart(engine)
        return
    engine.is_dark = True
    engine.membership = None
    later = rng.uniform(0.2, LONGEST_DOWN_S)
    asyncio.get_running_loop().call_later(later, restart, engine)


async def _restore(world, rng):
    """Let the store come back from an older copy now and then."""
    while True:
        again = rng.random() < AGAIN_SHARE
        await asyncio.sleep(0.5 if again else rng.uniform(*RESTORED_S))
        age_s, away_s = rng.uniform(0.5, OLDEST_COPY_S), rng.uniform(0, LONGEST_AWAY_S)
        world.come_back_older(age_s, away_s)


async def _disturb(world, site, rng):
    """Engines go dark and come back, are lost for good, or are added.

    The larger the site, the more often.
    """
    share = len(MIXED_SITE.domains) / len(site.domains)
    while True:
        await asyncio.sleep(share * rng.uniform(0.8, 3.0))
        live = [e for e in world.engines.values() if not e.is_dark]
        if len(live) <= len(site.domains) * site.engines / 2:
            world.add_engine(rng.choice(site.domains))
            continue
        engine = rng.choice(live)
        if site.restarts and rng.random() < RESTART_SHARE:
            _restart(world, engine, rng, site)
            continue
        engine.is_dark = True
        luck = rng.random()
        if luck < 0.4:
            # It was cut off only: it comes back as it was.
            back = rng.uniform(0.5, 9.0)
            asyncio.get_running_loop().call_later(
                back, setattr, engine, "is_dark", False
            )
        elif luck < 0.7:
            del world.engines[engine.id]
            world.add_engine(engine.domain, engine.staged)
        else:
            del world.engines[engine.id]


async def coordinator_run(seed, site=MIXED_SITE):
    """Make one run and return its :class:`~features.support.engine_world.World`.

    :param seed: of all that is random.
    :param site: :class:`DuelSite`
    """
    rng = random.Random(seed)
    world = World(rng, Faults(), MODELS)
    world.tells_lives = not site.renames
    for domain in site.domains:
        for _ in range(site.engines):
            world.add_engine(domain)
    duel = _Duel(rng, site.coordinators)
    settings = ControlSettings(stall_s=STALL_S)
    running = [duel.run(), world.run(), _disturb(world, site, rng)]
    if site.restores:
        running.append(_restore(world, random.Random(f"restored {seed}")))
    for number in range(site.coordinators):
        links = _Links(world, rng)
        running.append(links.run())
        if site.overloads:
            running.append(links.overload())
        tools = ListedTools()
        coordinator = Coordinator(
            tools,
            world,
            links,
            settings,
            WholeSite(lambda number=number: duel.acting[number]),
            lambda news: None,
        )
        listing = _list(world, coordinator, tools.fleet, rng, site)
        running += [coordinator.run(), listing]
    tasks = [asyncio.create_task(coroutine) for coroutine in running]
    await asyncio.sleep(RUN_S)
    for task in tasks:
        task.cancel()
    for result in await asyncio.gather(*tasks, return_exceptions=True):
        if not isinstance(result, asyncio.CancelledError):
            raise result
    return world


@contextlib.contextmanager
def _open_unseen():
    """Open a head without having seen every member ready."""
    head_only = group_orders._form

    def form(group, engines, models, now):
        members = [engines[member] for member in group.members]
        if members[0].was_ready(group):
            return group_orders._open(group, members[0], now)
        return head_only(group, engines, models, now)

    with mock.patch.object(group_orders, "_form", form):
        yield


@contextlib.contextmanager
def _take_strays():
    """Claim engines that are still in a group of another plan."""
    is_free = situation.is_free

    def free(plan, knowledge, engine, stall_s):
        if plan.group_of(engine.id, engine.incarnation) is None:
            return True
        return is_free(plan, knowledge, engine, stall_s)

    with (
        mock.patch.object(situation, "is_free", free),
        mock.patch.object(
            group_orders, "_leave_unplanned_groups", lambda plan, engines: []
        ),
        _join_regardless(),
    ):
        yield


@contextlib.contextmanager
def _same_epoch():
    """Give a repaired group its old epoch again."""
    make = group_revision._Revision.make

    def keep(self, model_demands, changes):
        old = {group.name: group.epoch for group in self._groups.values()}
        groups = make(self, model_demands, changes)
        return tuple(
            group._replace(epoch=old.get(group.name, group.epoch)) for group in groups
        )

    with mock.patch.object(group_revision._Revision, "make", keep):
        yield


def _join_regardless():
    """Join members whatever group they are in by their order counts."""
    return mock.patch.object(group_orders, "_serving_elsewhere", lambda *args: [])


@contextlib.contextmanager
def _silence_frees():
    """Take the silence of a given-up group's head as proof that it does not serve."""
    is_free = situation.is_free

    def free(plan, knowledge, engine, stall_s):
        group = plan.group_of(engine.id, engine.incarnation)
        if group is None or not group.is_retired:
            return is_free(plan, knowledge, engine, stall_s)
        head = knowledge.engines.get(group.head)
        if head is None or head.silent_since is not None:
            return True
        return is_free(plan, knowledge, engine, stall_s)

    with mock.patch.object(situation, "is_free", free), _join_regardless():
        yield


@contextlib.contextmanager
def _old_evidence():
    """Trust reports from before a group's end, and join whoever the plan says."""
    with (
        mock.patch.object(
            ObservedEngine, "require_evidence_since", lambda self, now: None
        ),
        _join_regardless(),
    ):
        yield


@contextlib.contextmanager
def _lives_confused():
    """Take all lives of an engine for one."""
    entry, report = Engine.entry, Engine.report
    with (
        mock.patch.object(Engine, "entry", lambda e: entry(e)._replace(incarnation=1)),
        mock.patch.object(
            Engine, "report", lambda e: report(e)._replace(incarnation=1)
        ),
    ):
        yield


@contextlib.contextmanager
def _lives_unplanned():
    """Plan engines by their ids alone."""
    with mock.patch.object(
        group_revision._Revision, "_incarnations_of", lambda self, members: ()
    ):
        yield


@contextlib.contextmanager
def _silence_drops():
    """Drop groups whose members are all silent, and free engines by the list."""
    is_free = situation.is_free

    def drop_dead(self):
        for group in list(self._groups.values()):
            if group.is_retired or self._live_members(group):
                continue
            if not self._is_still_serving(group):
                del self._groups[group.name]

    def free(plan, knowledge, engine, stall_s):
        if plan.group_of(engine.id, engine.incarnation) is None:
            return engine.membership is None or is_warmup_group(engine.membership)
        return is_free(plan, knowledge, engine, stall_s)

    with (
        mock.patch.object(group_revision._Revision, "_drop_unlisted", drop_dead),
        mock.patch.object(situation, "is_free", free),
        _join_regardless(),
    ):
        yield


def _eras_ignored():
    """Take the store's versions as they come."""
    return mock.patch.object(World, "tells_eras", False)


VARIANTS = {
    "eras ignored": _eras_ignored,
    "groups dropped for the silence of their members": _silence_drops,
    "lives confused": _lives_confused,
    "engines planned without their lives": _lives_unplanned,
    "evidence from before a group's end": _old_evidence,
    "members freed by the silence of their head": _silence_frees,
    "heads opened before all members were seen ready": _open_unseen,
    "engines taken out of groups they have not left": _take_strays,
    "epochs used twice": _same_epoch,
}
