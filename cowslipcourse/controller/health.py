"""Probes of targets, and the faults of group members that they show."""

import asyncio
from typing import NamedTuple

from cowslipcourse.daemon import now
from cowslipcourse.exceptions import TargetError
from cowslipcourse.fleet import VM, VmState
from cowslipcourse.ports import EngineStatus

__all__ = ["REASON_OTHER_ASSIGNMENT", "Prober", "TargetHealth", "member_fault"]


REASON_OTHER_ASSIGNMENT = "holds-another-assignment"


class TargetHealth(NamedTuple):
    """The newest answer of a target.

    :param status: status that the target reported.
    :param probed_at: loop time just before the probe was sent.
    :param idle_since: loop time since which every answer reported the target idle, or
        ``None``.
    :param without_requests_since: loop time since which every answer reported no
        requests, or ``None``.
    """

    status: EngineStatus
    probed_at: float
    idle_since: float | None
    without_requests_since: float | None


class Prober:
    """Probes targets concurrently and keeps their newest answers.

    :param targets: :class:`~cowslipcourse.ports.TargetClient`
    """

    def __init__(self, targets):
        self._targets = targets
        self._health = {}
        self._absent_since = {}

    def latest(self, vm_name):
        """Return the newest :class:`TargetHealth` of a VM, or ``None``."""
        return self._health.get(vm_name)

    def status_since(self, vm_name, since):
        """Return a VM's status if probed at or after a loop time, else ``None``."""
        health = self._health.get(vm_name)
        if health is None or health.probed_at < since:
            return None
        return health.status

    def absent_s(self, vm_name):
        """Return the seconds since the first of consecutive failed probes, or 0."""
        since = self._absent_since.get(vm_name)
        return 0.0 if since is None else now() - since

    async def probe(self, addresses):
        """Probe targets and forget the answers of all others.

        :param addresses: base URL by VM name.
        :returns: loop time just before the probes were sent.
        """
        sent_at = now()
        probes = [
            self._probe(vm_name, url, sent_at) for vm_name, url in addresses.items()
        ]
        await asyncio.gather(*probes)
        for vm_name in set(self._health) - set(addresses):
            del self._health[vm_name]
        for vm_name in set(self._absent_since) - set(addresses):
            del self._absent_since[vm_name]
        return sent_at

    async def _probe(self, vm_name, address, sent_at):
        try:
            status = await self._targets.probe(address)
        except TargetError:
            self._absent_since.setdefault(vm_name, sent_at)
            return
        if status.vm != vm_name:
            self._absent_since.setdefault(vm_name, sent_at)
            return
        self._absent_since.pop(vm_name, None)
        previous = self._health.get(vm_name)
        same_incarnation = (
            previous is not None and previous.status.incarnation == status.incarnation
        )
        idle_since = without_requests_since = None
        if status.state == "idle" and not status.group:
            idle_since = (previous.idle_since if same_incarnation else None) or sent_at
        if status.load.running + status.load.waiting == 0:
            without_requests_since = (
                previous.without_requests_since if same_incarnation else None
            ) or sent_at
        self._health[vm_name] = TargetHealth(
            status, sent_at, idle_since, without_requests_since
        )


def member_fault(spec, member, status, vm: VM | None, draining):
    """Return why a member does not allow its group to serve, or an empty string.

    :param spec: :class:`~cowslipcourse.fleet.GroupSpec`
    :param member: :class:`~cowslipcourse.fleet.GroupMember`
    :param status: :class:`~cowslipcourse.ports.EngineStatus` from this round of probes,
        or ``None``.
    :param vm: the VM as listed, or ``None`` if it is not listed.
    :param draining: names of VMs that operators drain.
    """
    if status is None:
        return "no-answer"
    if vm is None:
        return "not-listed"
    if status.incarnation != member.incarnation:
        return "restarted"
    if vm.state == VmState.LEAVING or status.state == "leaving":
        return "leaving"
    if member.vm in draining:
        return "drained"
    assignment = (status.group, status.epoch, status.model, status.version)
    if assignment != (spec.group, spec.epoch, spec.model, spec.version):
        return REASON_OTHER_ASSIGNMENT
    if status.state != "ready":
        return "loading"
    return ""
