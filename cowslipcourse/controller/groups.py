"""Groups and claims on VMs in the table service.

``group/<domain>/<id>`` holds a group and ``vm/<domain>/<name>`` the claim of a group
on a VM. Both are written in one transaction, under the shard's fencing token.
"""

from typing import NamedTuple

import msgspec

from cowslipcourse.controller.shard_leases import lease_key
from cowslipcourse.fleet import GroupSpec
from cowslipcourse.ports.platform import ABSENT, Transaction

__all__ = ["Claim", "GroupTable"]

GROUP_PREFIX = "group/"
VM_PREFIX = "vm/"


class Claim(NamedTuple):
    """The claim of a group on a VM.

    :param vm: VM name.
    :param incarnation: incarnation of the VM that joined the group.
    :param group: group id.
    :param releasing: whether the VM left the group and may still hold its weights.
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
        self._row_versions = {}
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
        """Whether the rows must be read again: a write may have taken effect."""
        return self._stale

    async def refresh(self):
        """Read all groups and claims of the shard again.

        :raises StoreUnavailable: the table service did not answer.
        """
        group_rows = await self._table.scan(f"{GROUP_PREFIX}{self._domain}/")
        claim_rows = await self._table.scan(f"{VM_PREFIX}{self._domain}/")
        self._row_versions = {
            row.key: row.version for row in [*group_rows, *claim_rows]
        }
        specs = [msgspec.convert(row.value, GroupSpec) for row in group_rows]
        claims = [msgspec.convert(row.value, Claim) for row in claim_rows]
        self._specs = {spec.group: spec for spec in specs}
        self._claims = {claim.vm: claim for claim in claims}
        self._stale = False

    async def form(self, spec):
        """Form a group of free VMs in one transaction.

        :param spec: :class:`~cowslipcourse.fleet.GroupSpec`
        :raises ConditionFailed: a VM is not free, or the lease was lost.
        :raises StoreError: the group may have been formed.
        """
        claims = [Claim(m.vm, m.incarnation, spec.group) for m in spec.members]
        await self._write([spec], claims)

    async def change(self, spec, released=()):
        """Write a group's new epoch, members or version.

        :param spec: the changed group.
        :param released: names of VMs that leave the group.
        """
        claims = [Claim(m.vm, m.incarnation, spec.group) for m in spec.members]
        releasing_claims = [
            self._claims[name]._replace(releasing=True) for name in released
        ]
        await self._write([spec], [*claims, *releasing_claims])

    async def merge(self, spec, released, donor_group):
        """Change a group and dissolve the group whose VMs it takes over.

        :param spec: the completed group.
        :param released: names of VMs that leave either group.
        :param donor_group: id of the group that is dissolved.
        """
        claims = [Claim(m.vm, m.incarnation, spec.group) for m in spec.members]
        releasing_claims = [
            self._claims[name]._replace(releasing=True) for name in released
        ]
        await self._write(
            [spec], [*claims, *releasing_claims], removed_group=donor_group
        )

    async def dissolve(self, group):
        """Remove a group; its VMs become free only after they are unloaded."""
        vm_names = [c.vm for c in self._claims.values() if c.group == group]
        releasing_claims = [
            self._claims[name]._replace(releasing=True) for name in vm_names
        ]
        await self._write([], releasing_claims, removed_group=group)

    async def delete_claims(self, vm_names):
        """Free VMs whose engines are known to hold no assignment any more."""
        await self._write([], [], deleted_vms=vm_names)

    async def _write(self, specs, claims, removed_group=None, deleted_vms=()):
        changes = {self._group_key(s.group): (s, self._specs, s.group) for s in specs}
        changes |= {self._vm_key(c.vm): (c, self._claims, c.vm) for c in claims}
        if removed_group is not None:
            key = self._group_key(removed_group)
            changes[key] = (None, self._specs, removed_group)
        changes |= {
            self._vm_key(name): (None, self._claims, name) for name in deleted_vms
        }
        conditions = {key: self._row_versions.get(key, ABSENT) for key in changes}
        conditions[lease_key(self._domain)] = self._fence
        writes = {
            key: None if value is None else msgspec.to_builtins(value)
            for key, (value, _, _) in changes.items()
        }
        self._stale = True
        version = await self._table.commit(Transaction(conditions, writes))
        for key, (value, cached_values, name) in changes.items():
            if value is None:
                cached_values.pop(name, None)
                self._row_versions.pop(key, None)
            else:
                cached_values[name] = value
                self._row_versions[key] = version
        self._stale = False

    def _group_key(self, group):
        return f"{GROUP_PREFIX}{self._domain}/{group}"

    def _vm_key(self, name):
        return f"{VM_PREFIX}{self._domain}/{name}"
