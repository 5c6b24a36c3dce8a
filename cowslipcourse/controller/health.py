"""What probes say of the targets of a shard."""

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

    :param status: what it said of itself.
    :param probed_at: loop time just before the probe was sent.
    :param idle_since: loop time since when every answer showed it idle, or ``None``.
    :param quiet_since: loop time since when every answer showed it without
        requests, or ``None``.
    """

    status: EngineStatus
    probed_at: float
    idle_since: float | None
    quiet_since: float | None


class Prober:
    """Probes targets together and keeps the newest answers.

    :param targets: :class:`~cowslipcourse.ports.TargetClient`
    """

    def __init__(self, targets):
        self._targets = targets
        self._health = {}
        self._missing_since = {}

    def get(self, name):
        """Return the newest :class:`TargetHealth` of a VM, or ``None``."""
        return self._health.get(name)

    def fresh(self, name, since):
        """Return the status if it was probed at or after a loop time, else ``None``."""
        health = self._health.get(name)
        if health is None or health.probed_at < since:
            return None
        return health.status

    def absent_s(self, name):
        """Return the seconds since a VM was last known present."""
        since = self._missing_since.get(name)
        return 0.0 if since is None else now() - since

    async def probe(self, addresses):
        """Probe targets.

        :param addresses: base URL by VM name.
        :returns: loop time just before the probes were sent.
        """
        sent_at = now()
        probes = [self._probe(name, url, sent_at) for name, url in addresses.items()]
        await asyncio.gather(*probes)
        for name in set(self._health) - set(addresses):
            del self._health[name]
        for name in set(self._missing_since) - set(addresses):
            del self._missing_since[name]
        return sent_at

    async def _probe(self, name, address, sent_at):
        try:
            status = await self._targets.probe(address)
        except TargetError:
            self._missing_since.setdefault(name, sent_at)
            return
        if status.vm != name:
            self._missing_since.setdefault(name, sent_at)
            return
        self._missing_since.pop(name, None)
        before = self._health.get(name)
        same = before is not None and before.status.incarnation == status.incarnation
        idle_since = quiet_since = None
        if status.state == "idle" and not status.group:
            idle_since = (before.idle_since if same else None) or sent_at
        if status.load.running + status.load.waiting == 0:
            quiet_since = (before.quiet_since if same else None) or sent_at
        self._health[name] = TargetHealth(status, sent_at, idle_since, quiet_since)


def member_fault(spec, member, status, vm: VM | None, draining):
    """Return why a member does not allow its group to serve, or an empty string.

    :param spec: :class:`~cowslipcourse.fleet.GroupSpec`
    :param member: :class:`~cowslipcourse.fleet.GroupMember`
    :param status: fresh :class:`~cowslipcourse.ports.EngineStatus` or ``None``.
    :param vm: the VM as listed, or ``None`` if it is not on the list.
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
    held = (status.group, status.epoch, status.model, status.version)
    if held != (spec.group, spec.epoch, spec.model, spec.version):
        return REASON_OTHER_ASSIGNMENT
    if status.state != "ready":
        return "loading"
    return ""
