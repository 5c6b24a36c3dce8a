"""Runs of decisions and agreements about the models' shares."""

import asyncio
import math
from types import SimpleNamespace
from typing import NamedTuple

from cowslipcourse.entry.model_shares import SHARES_TABLE, ModelShares
from cowslipcourse.exceptions import ConditionFailed, ReplyLost, StoreUnavailable
from cowslipcourse.group_plans import ModelLoad, ObservedWork, choose_shares
from cowslipcourse.load_balancing import Candidate
from cowslipcourse.ports import RowChanges, StoredRow, pack_version, unpack_version
from cowslipcourse.routes import CallerLimits, EngineModel, RouteTable, ServiceSpec

__all__ = [
    "SERVICE",
    "Demand",
    "ShareDecisionRun",
    "ShareRow",
    "ShareStore",
    "SharingDaemon",
    "service_spec",
]

SERVICE = "llm"
SLOTS = 10
STEP_S = 0.25
MOVE_S = 4.0
"""Time from a proposal until its groups serve."""
PROPOSAL_INTERVAL_S = 4.0


class Demand(NamedTuple):
    """Requests of a model that callers want in flight.

    :param requests: mean number.
    :param swing: amplitude of the wave, relative to the mean.
    :param period_s: period of the wave.
    :param factor: factor on the demand from ``factor_from`` to ``factor_to``.
    """

    requests: float
    swing: float = 0.0
    period_s: float = 15.0
    factor: float = 1.0
    factor_from: float = 0.0
    factor_to: float = 0.0

    def at(self, now):
        """Return the requests wanted at a time."""
        wave = 1 + self.swing * math.sin(2 * math.pi * now / self.period_s)
        factor = self.factor if self.factor_from <= now < self.factor_to else 1.0
        return self.requests * wave * factor


class ShareDecisionRun:
    """Decides shares over time; groups follow each decision some seconds later.

    :param models: :class:`~cowslipcourse.routes.EngineModel` tuple.
    :param domains: domain of each group by model, as declared.
    :param demands: :class:`Demand` by model.
    :param is_observed: whether shares follow the observed work.
    """

    def __init__(self, models, domains, demands, is_observed=True):
        self._models = models
        self._domains = dict(domains)
        self._demands = demands
        self._is_observed = is_observed
        self._engines = sum(len(domains[m.name]) * m.size for m in models)
        self.shares = {model.name: model.share for model in models}
        self.dark = {}
        self.proposals = []
        self.moved_groups = 0
        self.excess = dict.fromkeys(domains, 0.0)
        self.wanted = dict.fromkeys(domains, 0.0)

    def groups(self, model, now):
        """Return the domains of a model's serving groups."""
        return tuple(
            domain for domain in self._domains[model] if not self._is_dark(domain, now)
        )

    def _is_dark(self, domain, now):
        start, end = self.dark.get(domain, (0.0, 0.0))
        return start <= now < end

    def run(self, duration_s):
        """Run for some seconds; count requests that find no slot."""
        observed, pending = ObservedWork(), []
        for step in range(int(duration_s / STEP_S)):
            now = step * STEP_S
            if pending and now - pending[0][0] >= MOVE_S:
                self._move(pending.pop(0)[1])
            loads = {model.name: self._load(model.name, now) for model in self._models}
            observed.observe(loads, self._models, SLOTS, now)
            last = self.proposals[-1][0] if self.proposals else -math.inf
            shares = self._decide(observed, loads, now - last)
            if shares is not None:
                self.shares = shares
                self.proposals.append((now, shares))
                pending.append((now, shares))

    def _decide(self, observed, loads, elapsed_s):
        demands = observed.demands(self._models)
        if not self._is_observed or demands is None or elapsed_s < PROPOSAL_INTERVAL_S:
            return None
        return choose_shares(demands, loads, self._models, self.shares)

    def _load(self, model, now):
        domains = self.groups(model, now)
        wanted = self._demands[model].at(now)
        in_flight = min(wanted, len(domains) * SLOTS)
        self.wanted[model] += wanted * STEP_S
        self.excess[model] += (wanted - in_flight) * STEP_S
        return ModelLoad(round(in_flight), domains)

    def _move(self, shares):
        for model in self._models:
            before = self._domains[model.name]
            number = round(shares[model.name] * self._engines / model.size)
            self.moved_groups += abs(number - len(before))
            gained = tuple(f"gained-{i // 4}" for i in range(number - len(before)))
            kept = sorted(range(len(before)), key=lambda i: before[:i].count(before[i]))
            self._domains[model.name] = (
                *(before[i] for i in sorted(kept[:number])),
                *gained,
            )


class ShareRow(NamedTuple):
    """Content of a row of shares in JSON, and its version."""

    content: bytes
    version: int


class ShareStore:
    """A store with one table; implements :class:`~cowslipcourse.ports.RowStore`."""

    def __init__(self):
        self.rows = {}
        self.era = 0
        self.is_away = False
        self.loses_reply = False
        self.before_write = None
        self.calls = []
        self._version = 0

    def put(self, content):
        """Write a row as another daemon does."""
        self._version += 1
        self.rows[SERVICE] = ShareRow(content, self._version)

    def restore(self, rows):
        """Restore the store from an older copy."""
        self.rows = dict(rows)
        self.era += 1

    async def read_table(self, table):
        """See :class:`~cowslipcourse.ports.RowStore`."""
        await self._enter("read", table)
        rows = tuple(
            StoredRow(key, row.content, pack_version(self.era, row.version))
            for key, row in self.rows.items()
        )
        return RowChanges(rows, pack_version(self.era, self._version))

    async def write(self, row_write):
        """See :class:`~cowslipcourse.ports.RowStore`."""
        await self._enter("write", row_write.table)
        if self.before_write is not None:
            action, self.before_write = self.before_write, None
            action()
            await asyncio.sleep(0)
        row = self.rows.get(row_write.key)
        if unpack_version(row_write.expected_version) != (row.version if row else 0):
            raise ConditionFailed([row_write.key])
        self.put(row_write.value)
        if self.loses_reply:
            self.loses_reply = False
            raise ReplyLost("the reply was lost")
        return pack_version(self.era, self._version)

    async def _enter(self, kind, table):
        assert table == SHARES_TABLE, table
        self.calls.append(kind)
        await asyncio.sleep(0.004)
        if self.is_away:
            raise StoreUnavailable("away")


class _Fleet:
    """The part of a fleet view that :class:`ModelShares` uses."""

    def __init__(self):
        self.in_flight = {}
        self.groups = {}

    def group_candidates(self, service, model, slots, now):
        domains = self.groups[model]
        each = self.in_flight[model] / max(len(domains), 1)
        return [
            Candidate(SimpleNamespace(domain=domain), each, slots) for domain in domains
        ]


class _Scope:
    """A :class:`~cowslipcourse.entry.coordination_scope.CoordinationScope`."""

    coordinator_count = 3

    def __init__(self):
        self.is_first = False

    def coordinates(self, data_centre):
        return self.is_first


def service_spec(large_share=0.5, small_share=0.5):
    """Return a service with models of 8 and 2 engines."""
    models = (
        EngineModel("large", 8, large_share, 1.0, 16.0, 1.6),
        EngineModel("small", 2, small_share, 0.6, 12.0, 1.1),
    )
    return ServiceSpec(SERVICE, models=models, slots=SLOTS)


class SharingDaemon:
    """A coordinator's :class:`ModelShares` with its views.

    :param store: :class:`ShareStore`
    """

    def __init__(self, store):
        self.fleet = _Fleet()
        self.fleet.groups = {
            "large": tuple(f"l{i // 2}" for i in range(10)),
            "small": tuple(f"s{i // 9}" for i in range(36)),
        }
        self.fleet.in_flight = {"large": 20, "small": 220}
        self.scope = _Scope()
        self.is_enabled = True
        self.is_coordinating = True
        self.context = SimpleNamespace(fleet=self.fleet, table=None)
        self.declare(service_spec())
        self.shares = ModelShares(
            self.context,
            store,
            self.scope,
            lambda: self.is_enabled,
            lambda: self.is_coordinating,
        )
        self.task = None

    def declare(self, spec):
        """Apply a configuration."""
        self.spec = spec
        self.context.table = RouteTable(1, (), (spec,), CallerLimits())

    def start(self):
        """Run in a task of its own."""
        self.task = asyncio.create_task(self.shares.run())

    def stop(self):
        """Die at once."""
        self.task.cancel()

    def small_share(self):
        """Return the share in force of the smaller model."""
        models = {m.name: m.share for m in self.shares.apply(self.spec).models}
        return models["small"]
