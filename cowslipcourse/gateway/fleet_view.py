"""A gateway's view of groups, services and the other gateways."""

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

REFUSAL_BACKOFF_S = 2.0
DEPARTURE_REPORT_TTL_S = 15.0

log = get_logger(__name__)


class Grant:
    """A report together with the start of its validity.

    :ivar report: one of the report types of :mod:`cowslipcourse.daemon.reports`.
    :ivar observed_at: loop time from which the report's age is counted.
    """

    __slots__ = ("observed_at", "report")

    def __init__(self, report, observed_at):
        self.report = report
        self.observed_at = observed_at


class FleetView:
    """Newest reports of groups, services and gateways, and the active configuration.

    :param agent: :class:`~cowslipcourse.daemon.Agent`
    :param grant_s: seconds for which a report permits sending requests.
    """

    def __init__(self, agent, grant_s):
        self._agent = agent
        self._grant_s = grant_s
        self._groups = {}
        self._groups_by_declaration = {}
        self._services = {}
        self._gateways = {}
        self._departures = {}
        self._departing = frozenset()
        self._refused_until = {}
        self._configuration = Configuration()
        self._resolved = resolve(self._configuration, ())
        self._workspaces_by_key_sha256 = {}
        agent.on_record(self._handle_record)
        agent.on_revision(self._handle_revision)

    @property
    def configuration(self):
        """The active :class:`~cowslipcourse.config.Configuration`."""
        return self._configuration

    @property
    def resolved(self):
        """The active :class:`~cowslipcourse.config.ResolvedConfiguration`."""
        return self._resolved

    @property
    def groups(self):
        """:class:`Grant` by group id, including expired ones."""
        return self._groups

    @property
    def other_gateway_count(self):
        """Number of other gateways that have reported within the isolation time."""
        oldest_allowed = now() - self._agent.times.isolation_s
        return sum(g.observed_at >= oldest_allowed for g in self._gateways.values())

    def workspace_for_key(self, key_sha256):
        """Return the workspace that an API key belongs to, or ``None``."""
        return self._workspaces_by_key_sha256.get(key_sha256)

    def group_grants(self, declarations):
        """Return the grants of the groups that may be sent requests now.

        :param declarations: names of group declarations.
        :returns: list of :class:`Grant`
        """
        current_time = now()
        return [
            grant
            for declaration in declarations
            for group in self._groups_by_declaration.get(declaration, ())
            if self._is_usable(group, grant := self._groups[group], current_time)
            and self._departing.isdisjoint(grant.report.spec.vm_names)
        ]

    def is_departing(self, vm):
        """Return whether a VM is departing and must not get new requests."""
        return vm in self._departing

    def visible_groups(self):
        """Return the ids of the groups that serve according to fresh reports."""
        oldest_allowed = now() - self._grant_s
        return tuple(
            group
            for group, grant in self._groups.items()
            if grant.report.serving and grant.observed_at > oldest_allowed
        )

    def is_granted(self, spec):
        """Return whether a group may be sent a request now.

        :param spec: :class:`~cowslipcourse.fleet.GroupSpec` that was chosen.
        """
        grant = self._groups.get(spec.group)
        if grant is None or grant.report.spec.epoch != spec.epoch:
            return False
        if not self._departing.isdisjoint(spec.vm_names):
            return False
        return self._is_usable(spec.group, grant, now())

    def was_sent_under_grant(self, spec, granted_at, checked_at):
        """Return whether a request whose response has started was sent under a grant.

        The process may have been paused between the check and the send. The request
        was sent in time if the grant is valid even now, or if a newer probe found the
        group unchanged.

        :param spec: :class:`~cowslipcourse.fleet.GroupSpec` that was chosen.
        :param granted_at: loop time at which the grant started.
        :param checked_at: loop time of the check before the send.
        """
        if now() - granted_at < self._grant_s:
            return True
        grant = self._groups.get(spec.group)
        if grant is None or grant.report.spec.epoch != spec.epoch:
            return False
        was_complete = grant.report.serving or grant.report.reason == REASON_CHANGING
        return was_complete and grant.observed_at >= checked_at

    def granted_at(self, spec):
        """Return the loop time at which a group's grant started."""
        return self._groups[spec.group].observed_at

    def service_grants(self, service):
        """Return the grants of a plain service's targets that may be called now."""
        current_time = now()
        return [
            grant
            for vm, grant in self._services.items()
            if grant.report.service == service
            and self._is_usable(vm, grant, current_time)
            and vm not in self._departing
        ]

    def record_refusal(self, name):
        """Exclude a group or target that refused a request for a short time."""
        self._refused_until[name] = now() + REFUSAL_BACKOFF_S

    def peers_in_flight(self):
        """Return the other gateways' requests in flight, by group and by workspace."""
        groups, workspaces = {}, {}
        current_time = now()
        for grant in self._gateways.values():
            if current_time - grant.observed_at > self._agent.times.isolation_s:
                continue
            for name, count in grant.report.in_flight_by_group.items():
                groups[name] = groups.get(name, 0) + count
            for name, count in grant.report.in_flight_by_workspace.items():
                workspaces[name] = workspaces.get(name, 0) + count
        return groups, workspaces

    def leaving_gateways(self):
        """Return the names of gateways that are stopping."""
        return {g.report.gateway for g in self._gateways.values() if g.report.leaving}

    def _is_usable(self, name, grant, current_time):
        if (
            not grant.report.serving
            or current_time - grant.observed_at >= self._grant_s
        ):
            return False
        return self._refused_until.get(name, 0.0) <= current_time

    def _handle_record(self, record):
        try:
            report = decode_report(record)
        except msgspec.DecodeError as error:
            log.warning("unreadable-record", key=record.key, detail=str(error))
            return
        grant = Grant(report, record.observed_at)
        if record.key.startswith(GROUP_PREFIX):
            self._handle_group_report(report, grant)
        elif record.key.startswith(SERVICE_PREFIX):
            self._services[report.vm] = grant
        elif record.key.startswith(DEPARTURE_PREFIX):
            self._departures[report.controller] = grant
            self._update_departing()
        elif record.key.startswith(GATEWAY_PREFIX):
            if record.origin != self._agent.member.name:
                self._gateways[report.gateway] = grant

    def _update_departing(self):
        current_time = now()
        departing_vms = [
            grant.report.vms
            for grant in self._departures.values()
            if current_time - grant.observed_at <= DEPARTURE_REPORT_TTL_S
        ]
        self._departing = frozenset().union(*departing_vms)

    def _handle_group_report(self, report, grant):
        spec = report.spec
        declaration_groups = self._groups_by_declaration.setdefault(
            spec.declaration, set()
        )
        if spec.state == "dissolved":
            self._groups.pop(spec.group, None)
            declaration_groups.discard(spec.group)
            return
        self._groups[spec.group] = grant
        declaration_groups.add(spec.group)

    def _handle_revision(self, revision):
        try:
            self._configuration = Configuration.model_validate(revision.configuration)
            self._resolved = resolve(self._configuration, ())
        except (ValueError, ConfigurationError) as error:
            log.warning("unreadable-configuration", detail=str(error))
            return
        workspaces = self._configuration.workspace.items()
        self._workspaces_by_key_sha256 = {w.key_sha256: name for name, w in workspaces}
        self._gateways = {
            name: grant
            for name, grant in self._gateways.items()
            if name in revision.members
        }
