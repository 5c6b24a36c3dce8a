"""Reports that controllers and gateways exchange as records."""

from typing import NamedTuple

import msgspec

from cowslipcourse.fleet import GroupSpec
from cowslipcourse.ports import EngineLoad

__all__ = [
    "DEPARTURE_PREFIX",
    "GATEWAY_PREFIX",
    "GROUP_PREFIX",
    "QUARANTINE_PREFIX",
    "REASON_CHANGING",
    "SERVICE_PREFIX",
    "DepartureReport",
    "GatewayReport",
    "GroupReport",
    "ServiceReport",
    "decode_report",
]

GROUP_PREFIX = "group/"
SERVICE_PREFIX = "service/"
GATEWAY_PREFIX = "gateway/"
DEPARTURE_PREFIX = "departure/"
QUARANTINE_PREFIX = "quarantine/"
REASON_CHANGING = "changing"
"""Reason of a complete group that finishes its requests before it is changed."""


class GroupReport(NamedTuple):
    """Whether a group may serve; if so, the record is a grant of the same age.

    :param spec: the group.
    :param serving: whether every member was present in the last probe.
    :param reason: why the group does not serve; empty if it does.
    :param load: load as reported by the leader.
    :param cached_prefixes: prompt prefixes that the leader cached recently.
    """

    spec: GroupSpec
    serving: bool
    reason: str
    load: EngineLoad
    cached_prefixes: tuple[str, ...] = ()


class ServiceReport(NamedTuple):
    """Whether a target of a plain service may be called.

    :param vm: VM name.
    :param service: service declared on the VM.
    :param address: base URL.
    :param data_centre: data centre.
    :param serving: whether the target answered and may take new work.
    :param reason: why it may not be called; empty if it may.
    """

    vm: str
    service: str
    address: str
    data_centre: str
    serving: bool
    reason: str


class DepartureReport(NamedTuple):
    """VMs that must get no new work, as one controller observes them.

    :param controller: daemon name.
    :param vms: names of VMs that are leaving, drained, or no longer listed.
    """

    controller: str
    vms: tuple[str, ...]


class GatewayReport(NamedTuple):
    """Load and view of one gateway.

    :param gateway: daemon name.
    :param leaving: whether the gateway no longer accepts new callers.
    :param in_flight_by_group: requests in flight by group.
    :param in_flight_by_workspace: requests in flight by ``workspace``.
    :param visible_groups: ids of the groups that serve as far as the gateway knows.
    """

    gateway: str
    leaving: bool
    in_flight_by_group: dict[str, int]
    in_flight_by_workspace: dict[str, int]
    visible_groups: tuple[str, ...] = ()


_SCHEMAS_BY_PREFIX = {
    GROUP_PREFIX: GroupReport,
    SERVICE_PREFIX: ServiceReport,
    GATEWAY_PREFIX: GatewayReport,
    DEPARTURE_PREFIX: DepartureReport,
}


def decode_report(record):
    """Return the report in a record, or ``None`` if its prefix is of no report type.

    :param record: :class:`~cowslipcourse.membership.Record`
    """
    for prefix, schema in _SCHEMAS_BY_PREFIX.items():
        if record.key.startswith(prefix):
            return msgspec.json.decode(record.value, type=schema)
    return None
