"""Groups and claims on VMs in the table service.

``group/<domain>/<id>`` holds a group and ``vm/<domain>/<name>`` says which group a
VM belongs to. Both change together, under the shard's fencing token.
"""

from typing import NamedTuple

import msgspec

from cowslipcourse.controller.leasing import lease_key
from cowslipcourse.fleet import GroupSpec
from cowslipcourse.ports.platform import ABSENT, Transaction

__all__ = ["Claim", "GroupTable"]

GROUP_PREFIX = "group/"
VM_PREFIX = "vm/"


class Claim(NamedTuple):
    """Which group a VM belongs to.

    :param vm: VM name.
    :param incarnation: incarnation of the VM that was taken in.
    :param group: group id.
    :param releasing: whether it left the group and may still hold its weights.
    """

    vm: str
    incarnation: str
    group: str
    releasing: bool = False


class GroupTable:
    """Groups and claims of one shard, as last read or written.

    :param table: :class:`~cowslipcourse.ports.TableService`
    :param domain: fabric domain.
    :param fence: fencing token of the shard's lease.
    """

    def __init__(self, table, domain, fence):
        self._table = table
        self._domain = domain
        self._fence = fence
        self._versions = {}
        self._specs = {}
        self._claims = {}
        self._stale = True

    @property
    def specs(self):
        """Groups by id."""
        return self._specs

    @property
    def claims(self):
        """Claims by VM name."""
        return self._claims

    @property
    def stale(self):
        """Whether a write may have happened that was not read back."""
        return self._stale

    async def refresh(self):
        """Read everything anew.

        :raises StoreUnavailable: the table service did not answer.
        """
        groups = await self._table.scan(f"{GROUP_PREFIX}{self._domain}/")
        claims = await self._table.scan(f"{VM_PREFIX}{self._domain}/")
        self._versions = {row.key: row.version for row in [*groups, *claims]}
        specs = [msgspec.convert(row.value, GroupSpec) for row in groups]
        found = [msgspec.convert(row.value, Claim) for row in claims]
        self._specs = {spec.group: spec for spec in specs}
        self._claims = {claim.vm: claim for claim in found}
        self._stale = False

    async def form(self, spec):
        """Form a group of free VMs in one transaction.

        :raises ConditionFailed: a VM is not free, or the lease was lost.
        :raises StoreError: the group may have been formed.
        """
        claims = [Claim(m.vm, m.incarnation, spec.group) for m in spec.members]
        await self._write([spec], claims)

    async def change(self, spec, released=()):
        """Write a group's new epoch, members or version.

        :param spec: the group as it shall be.
        :param released: names of VMs that leave it.
        """
        claims = [Claim(m.vm, m.incarnation, spec.group) for m in spec.members]
        leaving = [self._claims[name]._replace(releasing=True) for name in released]
        await self._write([spec], [*claims, *leaving])

    async def merge(self, spec, released, donor):
        """Change a group and give up the one that gave it VMs.

        :param spec: the completed group.
        :param released: names of VMs that leave either group.
        :param donor: id of the group that is given up.
        """
        claims = [Claim(m.vm, m.incarnation, spec.group) for m in spec.members]
        leaving = [self._claims[name]._replace(releasing=True) for name in released]
        await self._write([spec], [*claims, *leaving], removed_group=donor)

    async def dissolve(self, group):
        """Remove a group; its VMs are to be unloaded before they are free."""
        names = [c.vm for c in self._claims.values() if c.group == group]
        leaving = [self._claims[name]._replace(releasing=True) for name in names]
        await self._write([], leaving, removed_group=group)

    async def free(self, names):
        """Free VMs that are known to hold nothing any more."""
        await self._write([], [], freed=names)

    async def _write(self, specs, claims, removed_group=None, freed=()):
        values = {self._group_key(s.group): (s, self._specs, s.group) for s in specs}
        values |= {self._vm_key(c.vm): (c, self._claims, c.vm) for c in claims}
        if removed_group is not None:
            key = self._group_key(removed_group)
            values[key] = (None, self._specs, removed_group)
        values |= {self._vm_key(name): (None, self._claims, name) for name in freed}
        conditions = {key: self._versions.get(key, ABSENT) for key in values}
        conditions[lease_key(self._domain)] = self._fence
        writes = {
            key: None if value is None else msgspec.to_builtins(value)
            for key, (value, _, _) in values.items()
        }
        self._stale = True
        version = await self._table.commit(Transaction(conditions, writes))
        for key, (value, cache, name) in values.items():
            if value is None:
                cache.pop(name, None)
                self._versions.pop(key, None)
            else:
                cache[name] = value
                self._versions[key] = version
        self._stale = False

    def _group_key(self, group):
        return f"{GROUP_PREFIX}{self._domain}/{group}"

    def _vm_key(self, name):
        return f"{VM_PREFIX}{self._domain}/{name}"
