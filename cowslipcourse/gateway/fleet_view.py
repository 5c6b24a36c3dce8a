"""What a gateway knows of groups, services and the other gateways."""

import msgspec

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.config import Configuration, resolve
from cowslipcourse.daemon import now
from cowslipcourse.daemon.reports import (
    DEPARTURE_PREFIX,
    GATEWAY_PREFIX,
    GROUP_PREFIX,
    REASON_CHANGING,
    SERVICE_PREFIX,
    decode_report,
)
from cowslipcourse.exceptions import ConfigurationError

__all__ = ["FleetView", "Grant"]

REFUSED_FOR_S = 2.0
DEPARTURES_KEEP_S = 15.0

log = get_logger(__name__)


class Grant:
    """A report with the time from which it counts.

    :ivar report: :class:`~cowslipcourse.daemon.reports.GroupReport` or the like.
    :ivar observed_at: loop time from which its age counts.
    """

    __slots__ = ("observed_at", "report")

    def __init__(self, report, observed_at):
        self.report = report
        self.observed_at = observed_at


class FleetView:
    """Newest reports, and the configuration that runs here.

    :param agent: :class:`~cowslipcourse.daemon.Agent`
    :param grant_s: seconds for which a report that something serves is good.
    """

    def __init__(self, agent, grant_s):
        self._agent = agent
        self._grant_s = grant_s
        self._groups = {}
        self._by_declaration = {}
        self._services = {}
        self._gateways = {}
        self._departures = {}
        self._departing = frozenset()
        self._refused_until = {}
        self._configuration = Configuration()
        self._resolved = resolve(self._configuration, ())
        self._workspaces_by_key = {}
        agent.on_record(self._take_record)
        agent.on_revision(self._take_revision)

    @property
    def configuration(self):
        """The :class:`~cowslipcourse.config.Configuration` that runs here."""
        return self._configuration

    @property
    def resolved(self):
        """The :class:`~cowslipcourse.config.ResolvedConfiguration` of the fleet."""
        return self._resolved

    @property
    def groups(self):
        """:class:`Grant` by group id, fresh or not."""
        return self._groups

    @property
    def other_gateway_count(self):
        """Number of other gateways that reported lately."""
        oldest = now() - self._agent.times.isolation_s
        return sum(g.observed_at >= oldest for g in self._gateways.values())

    def workspace_for_key(self, key_sha256):
        """Return the workspace that a key belongs to, or ``None``."""
        return self._workspaces_by_key.get(key_sha256)

    def group_grants(self, declarations):
        """Return the groups of declarations that may be sent requests now.

        :param declarations: names of group declarations.
        :returns: list of :class:`Grant`
        """
        at = now()
        return [
            grant
            for declaration in declarations
            for group in self._by_declaration.get(declaration, ())
            if self._is_usable(group, grant := self._groups[group], at)
            and self._departing.isdisjoint(grant.report.spec.vm_names)
        ]

    def is_departing(self, vm):
        """Whether a VM shall get no new work."""
        return vm in self._departing

    def visible_groups(self):
        """Return the ids of the groups that are known to serve."""
        oldest = now() - self._grant_s
        return tuple(
            group
            for group, grant in self._groups.items()
            if grant.report.serving and grant.observed_at > oldest
        )

    def is_granted(self, spec):
        """Return whether a group may be sent a request at this very moment.

        :param spec: :class:`~cowslipcourse.fleet.GroupSpec` that was chosen.
        """
        grant = self._groups.get(spec.group)
        if grant is None or grant.report.spec.epoch != spec.epoch:
            return False
        if not self._departing.isdisjoint(spec.vm_names):
            return False
        return self._is_usable(spec.group, grant, now())

    def was_sent_under_grant(self, spec, granted_at, checked_at):
        """Return whether a request was sent under a grant, seen from its answer.

        The process may have been paused between the check and the send. The request
        was sent in time if the grant is good even now, or if a newer probe found the
        group as it was.

        :param spec: :class:`~cowslipcourse.fleet.GroupSpec` that was chosen.
        :param granted_at: loop time from which the grant counted.
        :param checked_at: loop time of the check.
        """
        if now() - granted_at < self._grant_s:
            return True
        grant = self._groups.get(spec.group)
        if grant is None or grant.report.spec.epoch != spec.epoch:
            return False
        whole = grant.report.serving or grant.report.reason == REASON_CHANGING
        return whole and grant.observed_at >= checked_at

    def granted_at(self, spec):
        """Return the loop time from which a group's grant counts."""
        return self._groups[spec.group].observed_at

    def service_grants(self, service):
        """Return the targets of a plain service that may be called now."""
        at = now()
        return [
            grant
            for vm, grant in self._services.items()
            if grant.report.service == service
            and self._is_usable(vm, grant, at)
            and vm not in self._departing
        ]

    def record_refusal(self, name):
        """Note that a target refused new work; it is left alone for a moment."""
        self._refused_until[name] = now() + REFUSED_FOR_S

    def peers_in_flight(self):
        """Return requests in flight of the other gateways by group and workspace."""
        groups, workspaces = {}, {}
        at = now()
        for grant in self._gateways.values():
            if at - grant.observed_at > self._agent.times.isolation_s:
                continue
            for name, count in grant.report.in_flight_by_group.items():
                groups[name] = groups.get(name, 0) + count
            for name, count in grant.report.in_flight_by_workspace.items():
                workspaces[name] = workspaces.get(name, 0) + count
        return groups, workspaces

    def leaving_gateways(self):
        """Return the names of gateways that want no new callers."""
        return {g.report.gateway for g in self._gateways.values() if g.report.leaving}

    def _is_usable(self, name, grant, at):
        if not grant.report.serving or at - grant.observed_at >= self._grant_s:
            return False
        return self._refused_until.get(name, 0.0) <= at

    def _take_record(self, record):
        try:
            report = decode_report(record)
        except msgspec.DecodeError as error:
            log.warning("unreadable-record", key=record.key, detail=str(error))
            return
        grant = Grant(report, record.observed_at)
        if record.key.startswith(GROUP_PREFIX):
            self._take_group(report, grant)
        elif record.key.startswith(SERVICE_PREFIX):
            self._services[report.vm] = grant
        elif record.key.startswith(DEPARTURE_PREFIX):
            self._departures[report.controller] = grant
            self._update_departing()
        elif record.key.startswith(GATEWAY_PREFIX):
            if record.origin != self._agent.member.name:
                self._gateways[report.gateway] = grant

    def _update_departing(self):
        at = now()
        fresh = [
            grant.report.vms
            for grant in self._departures.values()
            if at - grant.observed_at <= DEPARTURES_KEEP_S
        ]
        self._departing = frozenset().union(*fresh)

    def _take_group(self, report, grant):
        spec = report.spec
        of_declaration = self._by_declaration.setdefault(spec.declaration, set())
        if spec.state == "dissolved":
            self._groups.pop(spec.group, None)
            of_declaration.discard(spec.group)
            return
        self._groups[spec.group] = grant
        of_declaration.add(spec.group)

    def _take_revision(self, revision):
        try:
            self._configuration = Configuration.model_validate(revision.configuration)
            self._resolved = resolve(self._configuration, ())
        except (ValueError, ConfigurationError) as error:
            log.warning("unreadable-configuration", detail=str(error))
            return
        workspaces = self._configuration.workspace.items()
        self._workspaces_by_key = {w.key_sha256: name for name, w in workspaces}
        self._gateways = {
            name: grant
            for name, grant in self._gateways.items()
            if name in revision.members
        }
