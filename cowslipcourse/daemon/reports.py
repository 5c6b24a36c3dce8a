"""What controllers and gateways tell each other in records."""

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
"""Reason of a group that is whole, but shall finish what runs before it changes."""


class GroupReport(NamedTuple):
    """Whether a group may serve. If so, the record's age is the grant's age.

    :param spec: the group.
    :param serving: whether every member was present when last probed.
    :param reason: why it does not serve, empty if it does.
    :param load: the leader's own load report.
    :param cached_prefixes: prompt prefixes that the leader lately cached.
    """

    spec: GroupSpec
    serving: bool
    reason: str
    load: EngineLoad
    cached_prefixes: tuple[str, ...] = ()


class ServiceReport(NamedTuple):
    """Whether a plain service's target may be called.

    :param vm: VM name.
    :param service: service declared on it.
    :param address: base URL.
    :param data_centre: data centre.
    :param serving: whether it answered and may take new work.
    :param reason: why not.
    """

    vm: str
    service: str
    address: str
    data_centre: str
    serving: bool
    reason: str


class DepartureReport(NamedTuple):
    """VMs that shall get no new work, as one controller sees it.

    :param controller: daemon name.
    :param vms: names of VMs that are leaving, drained, or no longer listed.
    """

    controller: str
    vms: tuple[str, ...]


class GatewayReport(NamedTuple):
    """What a gateway tells the others.

    :param gateway: daemon name.
    :param leaving: whether it no longer wants new callers.
    :param in_flight_by_group: requests in flight by group.
    :param in_flight_by_workspace: requests in flight by ``workspace``.
    :param visible_groups: ids of the groups that it knows to serve.
    """

    gateway: str
    leaving: bool
    in_flight_by_group: dict[str, int]
    in_flight_by_workspace: dict[str, int]
    visible_groups: tuple[str, ...] = ()


_TYPES = {
    GROUP_PREFIX: GroupReport,
    SERVICE_PREFIX: ServiceReport,
    GATEWAY_PREFIX: GatewayReport,
    DEPARTURE_PREFIX: DepartureReport,
}


def decode_report(record):
    """Return the report that a record holds, or ``None`` for other records.

    :param record: :class:`~cowslipcourse.membership.Record`
    """
    for prefix, schema in _TYPES.items():
        if record.key.startswith(prefix):
            return msgspec.json.decode(record.value, type=schema)
    return None
