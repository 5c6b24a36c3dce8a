"""Agree on the models' shares of the engines by observed work.

Every coordinator observes the work of all daemons and reads the agreed shares from a
row of the store for each service; only the first reporter of the site writes it.
"""

import asyncio
from typing import NamedTuple

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.entry.pauses import ticks
from cowslipcourse.exceptions import ConditionFailed, MalformedResponse, StoreError
from cowslipcourse.group_plans import (
    AgreedShares,
    ModelLoad,
    ObservedWork,
    choose_shares,
    decode_shares,
    encode_shares,
    utilisations,
)
from cowslipcourse.ports import RowWrite, era_of

__all__ = ["SHARES_TABLE", "ModelShares", "ShareAgreement", "ShareReport"]

SHARES_TABLE = "model_shares"
OBSERVATION_INTERVAL_S = 0.25
IDLE_INTERVAL_S = 1.0
"""Interval at which a daemon that neither coordinates nor proposes checks for it."""
READ_INTERVAL_S = 1.5
"""Interval of reads of the rows, far below the time that a change of shares takes."""
PROPOSAL_INTERVAL_S = 4.0
"""Least time between two proposals; groups of an earlier one begin to serve by then."""
KEPT_LOG_INTERVAL_S = 5.0
"""Least time between two log lines of the first reporter that shares stay."""

log = get_logger(__name__)


class ShareAgreement(NamedTuple):
    """What group plans need to know of the shares beside the models that carry them.

    :param declared_models: :class:`~cowslipcourse.routes.EngineModel` tuple with the
        declared shares.
    :param is_agreed: whether shares by observed work are in force.
    """

    declared_models: tuple
    is_agreed: bool


class ShareReport(NamedTuple):
    """Shares and utilisation of all models for the metrics.

    :param declared: declared share by model.
    :param agreed: share in force by model.
    :param utilisation: demanded part of its engines by model; empty until observed.
    """

    declared: dict[str, float]
    agreed: dict[str, float]
    utilisation: dict[str, float]


class ModelShares:
    """Observes work, proposes shares, and provides those that are agreed.

    :param context: :class:`~cowslipcourse.entry.context.DaemonContext`
    :param store: :class:`~cowslipcourse.ports.RowStore`
    :param scope: :class:`~cowslipcourse.entry.coordination_scope.CoordinationScope`
    :param is_enabled: callable that returns whether shares follow observed work.
    :param is_coordinating: callable that returns whether this daemon acts on shares.
    """

    def __init__(self, context, store, scope, is_enabled, is_coordinating):
        self._context = context
        self._store = store
        self._scope = scope
        self._is_enabled = is_enabled
        self._is_coordinating = is_coordinating
        self._agreed = {}
        self._row_versions = {}
        self._reported_rows = set()
        self._observed = {}
        self._loads = {}
        self._read_at = float("-inf")
        self._read_version = 0
        self._failed_at = float("-inf")
        self._proposed_at = float("-inf")
        self._kept_at = float("-inf")

    # What is agreed.

    def agreement(self, spec):
        """Return the :class:`ShareAgreement` of a service; ``None`` if switched off.

        :param spec: :class:`~cowslipcourse.routes.ServiceSpec` as declared.
        """
        if not self._is_enabled():
            return None
        return ShareAgreement(spec.models, self._agreed_shares(spec) is not None)

    def apply(self, spec):
        """Return a service whose models have the shares in force.

        :param spec: :class:`~cowslipcourse.routes.ServiceSpec` as declared.
        """
        agreed = self._agreed_shares(spec) if self._is_enabled() else None
        if agreed is None:
            return spec
        return spec._replace(
            models=tuple(
                model._replace(share=agreed.shares[model.name]) for model in spec.models
            )
        )

    def report(self):
        """Return the :class:`ShareReport` of all services."""
        report = ShareReport({}, {}, {})
        for spec in self._services():
            shares = _shares(self.apply(spec))
            report.declared.update(_shares(spec))
            report.agreed.update(shares)
            report.utilisation.update(self._utilisations(spec, shares))
        return report

    def _agreed_shares(self, spec):
        agreed = self._agreed.get(spec.name)
        return agreed if agreed is not None and agreed.is_for(spec.models) else None

    def _services(self):
        """Return the services whose models share engines."""
        table = self._context.table
        if table is None:
            return []
        return [
            spec
            for spec in table.services.values()
            if len(spec.models) > 1 and spec.slots > 0
        ]

    # Observation and agreement.

    async def run(self):
        """Observe, read and propose for as long as this daemon coordinates."""
        async for now, _ in ticks(
            OBSERVATION_INTERVAL_S, lambda: not self._is_active(), IDLE_INTERVAL_S
        ):
            if not self._is_active():
                self._observed = {}
                continue
            services = self._services()
            for spec in services:
                self._observe(spec, now)
            try:
                await self._update(services, now)
            except StoreError as error:
                # The shares that were read last hold.
                log.warning("shares-not-agreed", error=error.code, why=error)
                self._failed_at = asyncio.get_running_loop().time()

    def _is_active(self):
        return self._is_enabled() and (self._is_coordinating() or self._is_proposer())

    def _is_proposer(self):
        """Whether this daemon is the first reporter of the site.

        That one coordinates what no data centre is known of.
        """
        return self._scope.coordinates(None)

    def _observe(self, spec, now):
        loads = {model.name: self._load(spec, model, now) for model in spec.models}
        self._loads[spec.name] = loads
        observed = self._observed.setdefault(spec.name, ObservedWork())
        observed.observe(loads, spec.models, spec.slots, now)

    def _load(self, spec, model, now):
        heads = self._context.fleet.group_candidates(
            spec.name, model.name, spec.slots, now
        )
        in_flight = sum(head.in_flight for head in heads)
        return ModelLoad(in_flight, tuple(head.entry.domain for head in heads))

    async def _update(self, services, now):
        """Read the rows and propose shares, each if its interval has passed.

        :raises StoreError: a row was not read, or may not have been written.
        """
        if not services or now - self._failed_at < READ_INTERVAL_S:
            return
        is_restored = self._store.era != era_of(self._read_version)
        has_failed = self._failed_at > self._read_at
        if is_restored or has_failed or now - self._read_at >= READ_INTERVAL_S:
            await self._read()
        if not self._is_proposer() or now - self._proposed_at < PROPOSAL_INTERVAL_S:
            return
        for spec in services:
            await self._propose(spec, now)

    async def _read(self):
        """Read all rows; an unreadable one counts as absent."""
        requested_at = asyncio.get_running_loop().time()
        snapshot = await self._store.read_table(SHARES_TABLE)
        self._read_at = requested_at
        self._read_version = snapshot.version
        self._row_versions = {row.key: row.version for row in snapshot.rows}
        previous, self._agreed = self._agreed, {}
        for row in snapshot.rows:
            try:
                self._agreed[row.key] = self._decode(row)
            except MalformedResponse as error:
                self._report_unreadable(row, error)
        for service in sorted(previous.keys() | self._agreed.keys()):
            self._log_change(service, previous.get(service), self._agreed.get(service))

    def _decode(self, row):
        """Return the :class:`AgreedShares` in a row.

        :raises MalformedResponse: it cannot be read, or is for other declared shares.
        """
        agreed = decode_shares(row.key, row.value, row.version)
        spec = self._context.table.services.get(row.key)
        if spec is not None and not agreed.is_for(spec.models):
            raise MalformedResponse(f"shares of {row.key}: declared ones have changed")
        return agreed

    def _report_unreadable(self, row, error):
        known = {each for each in self._reported_rows if each[0] != row.key}
        if (row.key, row.version) not in self._reported_rows:
            log.warning("shares-unreadable", service=row.key, why=error)
        self._reported_rows = {*known, (row.key, row.version)}

    def _log_change(self, service, previous, agreed):
        if (previous and previous.shares) == (agreed and agreed.shares):
            return
        log.info(
            "shares-adopted",
            service=service,
            shares="declared" if agreed is None else _format(agreed.shares),
            version=self._row_versions.get(service, 0),
        )

    async def _propose(self, spec, now):
        observed = self._observed[spec.name]
        demands = observed.demands(spec.models)
        if demands is None:
            return
        loads = self._loads[spec.name]
        present = _shares(self.apply(spec))
        shares = choose_shares(demands, loads, spec.models, present)
        if shares is not None:
            self._proposed_at = now
            _log_decision("shares-proposed", spec, shares, present, demands, loads)
            await self._write(spec.name, AgreedShares(_shares(spec), shares))
        elif now - self._kept_at >= KEPT_LOG_INTERVAL_S:
            self._kept_at = now
            _log_decision("shares-kept", spec, present, present, demands, loads)

    async def _write(self, service, agreed):
        expected_version = self._row_versions.get(service, 0)
        row = RowWrite(SHARES_TABLE, service, encode_shares(agreed), expected_version)
        try:
            version = await self._store.write(row)
        except ConditionFailed:
            log.info("shares-outdated", service=service, version=expected_version)
            await self._read()
            return
        previous = self._agreed.get(service)
        self._row_versions[service] = version
        self._agreed[service] = agreed._replace(version=version)
        self._log_change(service, previous, agreed)

    def _utilisations(self, spec, shares):
        observed = self._observed.get(spec.name)
        demands = None if observed is None else observed.demands(spec.models)
        if demands is None:
            return {}
        loads = self._loads[spec.name]
        engines = sum(loads[model.name].groups * model.size for model in spec.models)
        return utilisations(demands, shares, engines)


def _log_decision(event, spec, shares, present, demands, loads):
    log.info(
        event,
        service=spec.name,
        shares=_format(shares),
        present=_format(present),
        demanded_engines=_format(demands),
        in_flight=_format({name: load.in_flight for name, load in loads.items()}),
        groups=_format({name: load.groups for name, load in loads.items()}),
    )


def _shares(spec):
    return {model.name: model.share for model in spec.models}


def _format(numbers):
    """Return numbers as comma-separated ``model:number`` items."""
    return ",".join(f"{name}:{round(n, 4)}" for name, n in sorted(numbers.items()))
