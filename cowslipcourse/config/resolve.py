"""Resolve selectors over the fleet and check what must hold between objects."""

from typing import NamedTuple

from cowslipcourse.exceptions import ConfigurationError, Problem
from cowslipcourse.fleet import VM, TargetKind, parse_selector

__all__ = ["ResolvedConfiguration", "resolve"]


class ResolvedConfiguration(NamedTuple):
    """A configuration with its selectors applied to the fleet.

    :param vms: labelled VMs by name.
    :param workspace_labels: labels by workspace.
    :param group_vms: candidate VM names by group declaration.
    :param service_vms: VM names by service.
    :param draining: names of VMs that operators drain.
    :param unfenced: names of VMs whose targets do not check fencing tokens.
    :param placements: ``(model, group declaration)`` pairs by workspace.
    :param service_access: services by workspace.
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
    """Apply label rules; each key of a subject may be set by one rule only."""
    labelled, idle = {}, []
    parsed = {name: parse_selector(rule.selector) for name, rule in rules.items()}
    hits = dict.fromkeys(rules, 0)
    for subject, labels in subjects.items():
        added, origin = {}, {}
        for name, rule in rules.items():
            if not parsed[name].matches(labels):
                continue
            hits[name] += 1
            for key, value in rule.set.items():
                if added.get(key, value) != value:
                    message = f"{subject} gets {key}={value} but label/{origin[key]}"
                    message += f" sets {key}={added[key]}"
                    problems.append(Problem(f"label/{name} set.{key}", message))
                added[key], origin[key] = value, name
        labelled[subject] = {**labels, **added}
    idle.extend(f"label/{name}" for name, count in hits.items() if not count)
    return labelled, idle


def _rules(configuration, subject):
    rules = configuration.label.items()
    return {name: rule for name, rule in rules if rule.on == subject}


def _check_references(configuration, problems):
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
            message = f"the same key as workspace/{other}"
            problems.append(Problem(f"workspace/{name} key_sha256", message))


def _select(selector_text, subjects):
    selector = parse_selector(selector_text)
    return tuple(name for name, labels in subjects.items() if selector.matches(labels))


def _claims(configuration, labels_of, kinds, problems):
    """Resolve groups and services; no VM may be claimed twice."""
    claimed, claims = {}, {"group": {}, "service": {}}
    wanted = {"group": TargetKind.ENGINE, "service": TargetKind.SERVICE}
    for kind, target_kind in wanted.items():
        subjects = {vm: labels_of[vm] for vm in labels_of if kinds[vm] == target_kind}
        for name, declared in getattr(configuration, kind).items():
            text = declared.vms if kind == "group" else declared.targets
            names = _select(text, subjects)
            claims[kind][name] = names
            clashes = {}
            for vm in names:
                other = claimed.setdefault(vm, f"{kind}/{name}")
                if other != f"{kind}/{name}":
                    clashes.setdefault(other, []).append(vm)
            for other, vms in clashes.items():
                message = f"{other} also selects {', '.join(sorted(vms)[:5])}"
                problems.append(Problem(f"{kind}/{name}", message))
    return claims


def resolve(configuration, vms):
    """Apply selectors to the fleet and check the whole.

    :param configuration: :class:`~cowslipcourse.config.Configuration`
    :param vms: iterable of :class:`~cowslipcourse.fleet.VM` with platform labels.
    :returns: :class:`ResolvedConfiguration`
    :raises ConfigurationError: with every problem found.
    """
    problems = []
    _check_references(configuration, problems)
    by_name = {vm.name: vm for vm in vms}
    vm_labels, idle = _apply_labels(
        _rules(configuration, "vm"),
        {name: dict(vm.labels) for name, vm in by_name.items()},
        problems,
    )
    workspace_labels, idle_workspaces = _apply_labels(
        _rules(configuration, "workspace"),
        {
            name: {"name": name, **workspace.labels}
            for name, workspace in configuration.workspace.items()
        },
        problems,
    )
    idle += idle_workspaces
    kinds = {name: vm.kind for name, vm in by_name.items()}
    claims = _claims(configuration, vm_labels, kinds, problems)
    if problems:
        raise ConfigurationError(problems)
    for kind, found in claims.items():
        idle.extend(f"{kind}/{name}" for name, names in found.items() if not names)
    group_labels = {
        name: {"name": name, "model": group.model, **group.labels}
        for name, group in configuration.group.items()
    }
    placements = {name: set() for name in configuration.workspace}
    for name, placement in configuration.placement.items():
        models = configuration.group
        groups = [
            declared
            for declared in _select(placement.groups, group_labels)
            if models[declared].model == placement.model
        ]
        workspaces = _select(placement.workspaces, workspace_labels)
        if not groups or not workspaces:
            idle.append(f"placement/{name}")
        for workspace in workspaces:
            placements[workspace].update((placement.model, group) for group in groups)
    access = {name: set() for name in configuration.workspace}
    for name, service in configuration.service.items():
        for workspace in _select(service.workspaces, workspace_labels):
            access[workspace].add(name)
    draining = set()
    for name, drain in configuration.drain.items():
        matched = _select(drain.selector, vm_labels)
        draining.update(matched)
        if not matched:
            idle.append(f"drain/{name}")
    unfenced_text = configuration.site_policy.unfenced_targets
    unfenced = _select(unfenced_text, vm_labels) if unfenced_text else ()
    return ResolvedConfiguration(
        vms={name: vm._replace(labels=vm_labels[name]) for name, vm in by_name.items()},
        workspace_labels=workspace_labels,
        group_vms=claims["group"],
        service_vms=claims["service"],
        draining=frozenset(draining),
        unfenced=frozenset(unfenced),
        placements={name: frozenset(pairs) for name, pairs in placements.items()},
        service_access={name: frozenset(names) for name, names in access.items()},
        idle_selectors=tuple(sorted(idle)),
    )
