"""Plans: the predicted impact of an edit on the fleet."""

from typing import NamedTuple

import msgspec
import xxhash

__all__ = ["ExistingGroup", "Plan", "make_plan"]


class ExistingGroup(NamedTuple):
    """A group that exists now.

    :param group: group id.
    :param declaration: name of the group declaration that it implements.
    :param members: VM names.
    """

    group: str
    declaration: str
    members: tuple[str, ...]


class Plan(NamedTuple):
    """Predicted impact of an edit.

    :param vms_leaving: VMs of groups whose declaration no longer selects them.
    :param groups_broken: ids of groups that would stop serving.
    :param accelerators_idled: number of accelerators in groups that would stop
        serving.
    :param models_lost: models that have a group now and would have none.
    :param workspaces_cut: ``workspace:model`` pairs that would lose their placement.
    :param services_lost: services that have a target now and would have none.
    :param idle_selectors: objects whose selector matches now and would match nothing.
    :param reloads: ids of groups that would reload weights, one at a time.
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
        """Whether the edit interrupts traffic or leaves capacity unusable."""
        destructive_effects = (
            self.vms_leaving,
            self.groups_broken,
            self.models_lost,
            self.workspaces_cut,
            self.services_lost,
            self.idle_selectors,
        )
        return any(destructive_effects)

    @property
    def digest(self):
        """Digest with which an operator confirms exactly this plan."""
        return xxhash.xxh3_64_hexdigest(msgspec.json.encode(self))


def _retained_groups(configuration, resolved, groups):
    """Return the ids of existing groups that the configuration retains."""
    retained, retained_counts = set(), {}
    for existing in sorted(groups):
        declared = configuration.group.get(existing.declaration)
        if declared is None or len(existing.members) != declared.vms_per_group:
            continue
        candidates = set(resolved.group_vms[existing.declaration]) - resolved.draining
        is_eligible = candidates.issuperset(existing.members)
        if (
            is_eligible
            and retained_counts.get(existing.declaration, 0) < declared.count
        ):
            retained_counts[existing.declaration] = (
                retained_counts.get(existing.declaration, 0) + 1
            )
            retained.add(existing.group)
    return retained


def _reloading_groups(old, new, groups, retained):
    reloading = []
    for existing in sorted(groups):
        if existing.group not in retained or existing.declaration not in old.group:
            continue
        before = old.model[old.group[existing.declaration].model]
        after = new.model[new.group[existing.declaration].model]
        if before != after:
            reloading.append(existing.group)
    return tuple(reloading)


def _placement_pairs(resolved):
    return {
        f"{workspace}:{model}"
        for workspace, placed in resolved.placements.items()
        for model, _ in placed
    }


def make_plan(old, old_resolved, new, new_resolved, groups):
    """Predict the impact of a change of the configuration.

    :param old: current configuration.
    :param old_resolved: its :class:`~cowslipcourse.config.ResolvedConfiguration`.
    :param new: desired configuration.
    :param new_resolved: its :class:`~cowslipcourse.config.ResolvedConfiguration`.
    :param groups: iterable of :class:`ExistingGroup`.
    :returns: :class:`Plan`
    """
    groups = list(groups)
    retained_before = _retained_groups(old, old_resolved, groups)
    retained = _retained_groups(new, new_resolved, groups)
    broken_groups = sorted(retained_before - retained)
    leaving_vms, idled_accelerators = set(), 0
    for existing in groups:
        if existing.group not in broken_groups:
            continue
        candidates = set(new_resolved.group_vms.get(existing.declaration, ()))
        leaving_vms.update(set(existing.members) - (candidates - new_resolved.draining))
        idled_accelerators += sum(
            new_resolved.vms[name].accelerators
            for name in existing.members
            if name in new_resolved.vms
        )
    served_models_before = {
        old.group[group.declaration].model
        for group in groups
        if group.group in retained_before
    }
    served_models = {
        new.group[group.declaration].model
        for group in groups
        if group.group in retained
    }
    served_services_before = {
        service for service, vms in old_resolved.service_vms.items() if vms
    }
    served_services = {
        service for service, vms in new_resolved.service_vms.items() if vms
    }
    unmatched_before = set(old_resolved.idle_selectors)
    return Plan(
        vms_leaving=tuple(sorted(leaving_vms)),
        groups_broken=tuple(broken_groups),
        accelerators_idled=idled_accelerators,
        models_lost=tuple(sorted(served_models_before - served_models)),
        workspaces_cut=tuple(
            sorted(_placement_pairs(old_resolved) - _placement_pairs(new_resolved))
        ),
        services_lost=tuple(sorted(served_services_before - served_services)),
        idle_selectors=tuple(
            name for name in new_resolved.idle_selectors if name not in unmatched_before
        ),
        reloads=_reloading_groups(old, new, groups, retained),
    )
