"""What an edit would do to the fleet, before it is made."""

from typing import NamedTuple

import msgspec
import xxhash

__all__ = ["ExistingGroup", "Plan", "make_plan"]


class ExistingGroup(NamedTuple):
    """A group as it stands now.

    :param group: group id.
    :param declaration: group declaration that it was formed for.
    :param members: VM names.
    """

    group: str
    declaration: str
    members: tuple[str, ...]


class Plan(NamedTuple):
    """Impact of an edit.

    :param vms_leaving: VMs of groups whose declaration no longer selects them.
    :param groups_broken: ids of groups that would stop serving.
    :param accelerators_idled: accelerators in groups that would stop.
    :param models_lost: models that would have no group left, that have one now.
    :param workspaces_cut: ``workspace:model`` pairs that would lose their placement.
    :param services_lost: services that would have no target left.
    :param idle_selectors: objects whose selector would newly match nothing.
    :param reloads: groups that would reload weights, one after another.
    """

    vms_leaving: tuple[str, ...]
    groups_broken: tuple[str, ...]
    accelerators_idled: int
    models_lost: tuple[str, ...]
    workspaces_cut: tuple[str, ...]
    services_lost: tuple[str, ...]
    idle_selectors: tuple[str, ...]
    reloads: tuple[str, ...]

    @property
    def destructive(self):
        """Whether the edit cuts traffic or strands capacity."""
        harm = (
            self.vms_leaving,
            self.groups_broken,
            self.models_lost,
            self.workspaces_cut,
            self.services_lost,
            self.idle_selectors,
        )
        return any(harm)

    @property
    def digest(self):
        """Short digest by which an operator confirms exactly this plan."""
        return xxhash.xxh3_64_hexdigest(msgspec.json.encode(self))


def _kept_groups(configuration, resolved, groups):
    """Return the ids of groups that the configuration keeps."""
    kept, counts = set(), {}
    for use in sorted(groups):
        declared = configuration.group.get(use.declaration)
        if declared is None or len(use.members) != declared.vms_per_group:
            continue
        candidates = set(resolved.group_vms[use.declaration]) - resolved.draining
        fits = candidates.issuperset(use.members)
        if fits and counts.get(use.declaration, 0) < declared.count:
            counts[use.declaration] = counts.get(use.declaration, 0) + 1
            kept.add(use.group)
    return kept


def _reloading(old, new, groups, kept):
    reloading = []
    for use in sorted(groups):
        if use.group not in kept or use.declaration not in old.group:
            continue
        before = old.model[old.group[use.declaration].model]
        after = new.model[new.group[use.declaration].model]
        if before != after:
            reloading.append(use.group)
    return tuple(reloading)


def _pairs(resolved):
    return {
        f"{workspace}:{model}"
        for workspace, pairs in resolved.placements.items()
        for model, _ in pairs
    }


def make_plan(old, old_resolved, new, new_resolved, groups):
    """Work out what changing the configuration does.

    :param old: configuration now.
    :param old_resolved: its :class:`~cowslipcourse.config.ResolvedConfiguration`.
    :param new: configuration wanted.
    :param new_resolved: its :class:`~cowslipcourse.config.ResolvedConfiguration`.
    :param groups: iterable of :class:`ExistingGroup`.
    :returns: :class:`Plan`
    """
    groups = list(groups)
    kept_before = _kept_groups(old, old_resolved, groups)
    kept = _kept_groups(new, new_resolved, groups)
    broken = sorted(kept_before - kept)
    leaving, idled = set(), 0
    for use in groups:
        if use.group not in broken:
            continue
        candidates = set(new_resolved.group_vms.get(use.declaration, ()))
        leaving.update(set(use.members) - (candidates - new_resolved.draining))
        idled += sum(
            new_resolved.vms[name].accelerators
            for name in use.members
            if name in new_resolved.vms
        )
    served_before = {
        old.group[u.declaration].model for u in groups if u.group in kept_before
    }
    served = {new.group[u.declaration].model for u in groups if u.group in kept}
    services_before = {n for n, vms in old_resolved.service_vms.items() if vms}
    services = {n for n, vms in new_resolved.service_vms.items() if vms}
    idle_before = set(old_resolved.idle_selectors)
    return Plan(
        vms_leaving=tuple(sorted(leaving)),
        groups_broken=tuple(broken),
        accelerators_idled=idled,
        models_lost=tuple(sorted(served_before - served)),
        workspaces_cut=tuple(sorted(_pairs(old_resolved) - _pairs(new_resolved))),
        services_lost=tuple(sorted(services_before - services)),
        idle_selectors=tuple(
            name for name in new_resolved.idle_selectors if name not in idle_before
        ),
        reloads=_reloading(old, new, groups, kept),
    )
