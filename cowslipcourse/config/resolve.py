"""Applies selectors to the fleet and validates constraints between objects."""

from typing import NamedTuple

from cowslipcourse.exceptions import ConfigurationError, Problem
from cowslipcourse.fleet import VM, TargetKind, parse_selector

__all__ = ["ResolvedConfiguration", "resolve"]


class ResolvedConfiguration(NamedTuple):
    """A configuration with its selectors applied to the fleet.

    :param vms: labelled :class:`~cowslipcourse.fleet.VM` by name.
    :param workspace_labels: labels by workspace.
    :param group_vms: candidate VM names by group declaration.
    :param service_vms: names of the VMs by service.
    :param draining: names of VMs that a drain selects.
    :param unfenced: names of VMs whose targets do not check fencing tokens.
    :param placements: ``(model, group declaration)`` pairs by workspace.
    :param service_access: accessible services by workspace.
    :param idle_selectors: objects whose selector matches nothing.
    """

    vms: dict[str, VM]
    workspace_labels: dict[str, dict[str, str]]
    group_vms: dict[str, tuple[str, ...]]
    service_vms: dict[str, tuple[str, ...]]
    draining: frozenset[str]
    unfenced: frozenset[str]
    placements: dict[str, frozenset[tuple[str, str]]]
    service_access: dict[str, frozenset[str]]
    idle_selectors: tuple[str, ...]

    def declarations_for(self, workspace, model):
        """Return the group declarations that serve a model to a workspace."""
        pairs = self.placements.get(workspace, frozenset())
        return {declared for name, declared in pairs if name == model}

    def models_for(self, workspace):
        """Return the names of the models placed for a workspace, sorted."""
        return sorted({name for name, _ in self.placements.get(workspace, ())})


def _apply_labels(rules, subjects, problems):
    """Apply label rules to subjects and return their labels and the unmatched rules.

    Rules must not set the same key of a subject to different values.
    """
    labelled, unmatched = {}, []
    selectors = {name: parse_selector(rule.selector) for name, rule in rules.items()}
    match_counts = dict.fromkeys(rules, 0)
    for subject, labels in subjects.items():
        added, rule_by_key = {}, {}
        for name, rule in rules.items():
            if not selectors[name].matches(labels):
                continue
            match_counts[name] += 1
            for key, value in rule.set.items():
                if added.get(key, value) != value:
                    message = (
                        f"{subject} gets {key}={value} but label/{rule_by_key[key]}"
                    )
                    message += f" sets {key}={added[key]}"
                    problems.append(Problem(f"label/{name} set.{key}", message))
                added[key], rule_by_key[key] = value, name
        labelled[subject] = {**labels, **added}
    unmatched.extend(
        f"label/{name}" for name, count in match_counts.items() if not count
    )
    return labelled, unmatched


def _label_rules(configuration, subject):
    rules = configuration.label.items()
    return {name: rule for name, rule in rules if rule.on == subject}


def _validate_references(configuration, problems):
    for kind in ("group", "placement"):
        for name, declared in getattr(configuration, kind).items():
            if declared.model not in configuration.model:
                message = f"no model {declared.model!r} is declared"
                problems.append(Problem(f"{kind}/{name} model", message))
    if len(configuration.site) > 1:
        names = ", ".join(sorted(configuration.site))
        problems.append(Problem("site", f"declare one site only, found {names}"))
    owners = {}
    for name, workspace in configuration.workspace.items():
        other = owners.setdefault(workspace.key_sha256, name)
        if other != name:
            message = f"same key as workspace/{other}"
            problems.append(Problem(f"workspace/{name} key_sha256", message))


def _select(selector_text, subjects):
    selector = parse_selector(selector_text)
    return tuple(name for name, labels in subjects.items() if selector.matches(labels))


def _select_vms(configuration, labels_of, vm_kinds, problems):
    """Return the VMs that groups and services select; none may be selected twice."""
    owner_by_vm, selected = {}, {"group": {}, "service": {}}
    target_kinds = {"group": TargetKind.ENGINE, "service": TargetKind.SERVICE}
    for kind, target_kind in target_kinds.items():
        subjects = {
            vm: labels_of[vm] for vm in labels_of if vm_kinds[vm] == target_kind
        }
        for name, declared in getattr(configuration, kind).items():
            text = declared.vms if kind == "group" else declared.targets
            names = _select(text, subjects)
            selected[kind][name] = names
            overlaps = {}
            for vm in names:
                other = owner_by_vm.setdefault(vm, f"{kind}/{name}")
                if other != f"{kind}/{name}":
                    overlaps.setdefault(other, []).append(vm)
            for other, vms in overlaps.items():
                message = f"{other} also selects {', '.join(sorted(vms)[:5])}"
                problems.append(Problem(f"{kind}/{name}", message))
    return selected


def resolve(configuration, vms):
    """Apply selectors to the fleet and validate the configuration.

    :param configuration: :class:`~cowslipcourse.config.Configuration`
    :param vms: iterable of :class:`~cowslipcourse.fleet.VM` with platform labels.
    :returns: :class:`ResolvedConfiguration`
    :raises ConfigurationError: lists every problem.
    """
    problems = []
    _validate_references(configuration, problems)
    vms_by_name = {vm.name: vm for vm in vms}
    vm_labels, unmatched = _apply_labels(
        _label_rules(configuration, "vm"),
        {name: dict(vm.labels) for name, vm in vms_by_name.items()},
        problems,
    )
    workspace_labels, unmatched_for_workspaces = _apply_labels(
        _label_rules(configuration, "workspace"),
        {
            name: {"name": name, **workspace.labels}
            for name, workspace in configuration.workspace.items()
        },
        problems,
    )
    unmatched += unmatched_for_workspaces
    vm_kinds = {name: vm.kind for name, vm in vms_by_name.items()}
    selected = _select_vms(configuration, vm_labels, vm_kinds, problems)
    if problems:
        raise ConfigurationError(problems)
    for kind, names_by_object in selected.items():
        unmatched.extend(
            f"{kind}/{name}" for name, names in names_by_object.items() if not names
        )
    group_labels = {
        name: {"name": name, "model": group.model, **group.labels}
        for name, group in configuration.group.items()
    }
    placements = {name: set() for name in configuration.workspace}
    for name, placement in configuration.placement.items():
        declared_groups = configuration.group
        groups = [
            declared
            for declared in _select(placement.groups, group_labels)
            if declared_groups[declared].model == placement.model
        ]
        workspaces = _select(placement.workspaces, workspace_labels)
        if not groups or not workspaces:
            unmatched.append(f"placement/{name}")
        for workspace in workspaces:
            placements[workspace].update((placement.model, group) for group in groups)
    service_access = {name: set() for name in configuration.workspace}
    for name, service in configuration.service.items():
        for workspace in _select(service.workspaces, workspace_labels):
            service_access[workspace].add(name)
    draining = set()
    for name, drain in configuration.drain.items():
        drained = _select(drain.selector, vm_labels)
        draining.update(drained)
        if not drained:
            unmatched.append(f"drain/{name}")
    unfenced_selector = configuration.site_policy.unfenced_targets
    unfenced = _select(unfenced_selector, vm_labels) if unfenced_selector else ()
    return ResolvedConfiguration(
        vms={
            name: vm._replace(labels=vm_labels[name])
            for name, vm in vms_by_name.items()
        },
        workspace_labels=workspace_labels,
        group_vms=selected["group"],
        service_vms=selected["service"],
        draining=frozenset(draining),
        unfenced=frozenset(unfenced),
        placements={name: frozenset(pairs) for name, pairs in placements.items()},
        service_access={
            name: frozenset(names) for name, names in service_access.items()
        },
        idle_selectors=tuple(sorted(unmatched)),
    )
