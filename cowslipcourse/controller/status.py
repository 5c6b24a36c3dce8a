"""State of the running system for operators."""

from cowslipcourse.daemon import now
from cowslipcourse.daemon.reports import (
    GATEWAY_PREFIX,
    GROUP_PREFIX,
    SERVICE_PREFIX,
    decode_report,
)
from cowslipcourse.membership import Role

__all__ = ["system_status"]


def system_status(context, acceptor, shard_manager):
    """Return the state of groups, services, daemons and revisions.

    :param context: :class:`~cowslipcourse.controller.context.ControllerContext`
    :param acceptor: :class:`~cowslipcourse.controller.acceptor.RevisionAcceptor`
    :param shard_manager: :class:`~cowslipcourse.controller.shards.ShardManager`
    """
    agent, fleet = context.agent, context.fleet
    revision = agent.revision
    return {
        "from": agent.member.name,
        "revision": revision.number if revision else 0,
        "accepted": acceptor.accepted_number,
        "missing": acceptor.members_behind(),
        "serving": agent.may_serve(),
        "table_answers": agent.table_answered,
        "vm_list_age_s": _rounded(fleet.vm_list_age_s),
        "problems": [str(problem) for problem in fleet.problems],
        "daemons": _daemon_statuses(agent),
        "declarations": _declaration_statuses(agent, fleet),
        "groups": _group_statuses(agent, context.settings.time.grant_s),
        "services": _service_statuses(agent),
        "shards": _shard_holders(fleet, shard_manager),
        "spares": _free_vm_counts(shard_manager),
    }


def _rounded(seconds):
    return None if seconds is None else round(seconds, 1)


def _daemon_statuses(agent):
    statuses = []
    if agent.revision is None:
        return statuses
    leaving = {
        report.gateway for report in _reports(agent, GATEWAY_PREFIX) if report.leaving
    }
    for member in agent.revision.members.values():
        contact = agent.contacts.get(member.name)
        if member == agent.member:
            state, revision_number, age_s = "serving", agent.revision.number, 0.0
        elif contact is None:
            state, revision_number, age_s = "unheard", 0, None
        else:
            age_s = now() - contact.sent_at
            silent = age_s > agent.times.isolation_s
            state = "silent" if silent else "stopped" if contact.stopped else "serving"
            revision_number = contact.revision
        if member.name in leaving and state == "serving":
            state = "leaving"
        statuses.append(
            {
                "name": member.name,
                "role": member.role,
                "data_centre": member.data_centre,
                "state": state,
                "revision": revision_number,
                "heard_s": _rounded(age_s),
                "address": member.public_address,
            }
        )
    return sorted(statuses, key=lambda item: item["name"])


def _reports(agent, prefix):
    return [decode_report(record) for record in agent.records.with_prefix(prefix)]


def _visible_groups_by_gateway(agent):
    """Return the groups that serve as far as each gateway that accepts callers knows.

    Controllers know of a serving group before gateways do: for one or two seconds after
    a start, callers may find no group at a gateway although every group is serving for
    the controllers.
    """
    oldest_valid_at = now() - agent.times.isolation_s
    visible_by_gateway = {
        daemon["name"]: ()
        for daemon in _daemon_statuses(agent)
        if daemon["role"] == Role.GATEWAY and daemon["state"] == "serving"
    }
    for record in agent.records.with_prefix(GATEWAY_PREFIX):
        report = decode_report(record)
        if (
            report.gateway in visible_by_gateway
            and record.observed_at >= oldest_valid_at
        ):
            visible_by_gateway[report.gateway] = report.visible_groups
    return visible_by_gateway


def _group_statuses(agent, grant_s):
    statuses = []
    visible_by_gateway = _visible_groups_by_gateway(agent)
    for record in agent.records.with_prefix(GROUP_PREFIX):
        report = decode_report(record)
        if report.spec.state == "dissolved":
            continue
        age_s = now() - record.observed_at
        stale = age_s > grant_s
        unseen_by = sorted(
            gateway
            for gateway, visible in visible_by_gateway.items()
            if report.spec.group not in visible
        )
        statuses.append(
            {
                "group": report.spec.group,
                "declaration": report.spec.declaration,
                "domain": report.spec.domain,
                "model": f"{report.spec.model}@{report.spec.version}",
                "epoch": report.spec.epoch,
                "serving": report.serving and not stale and not unseen_by,
                "reason": _not_serving_reason(report, stale, unseen_by),
                "unseen_by": unseen_by,
                "heard_s": _rounded(age_s),
                "members": report.spec.vm_names,
                "running": report.load.running,
                "waiting": report.load.waiting,
            }
        )
    return sorted(statuses, key=lambda item: (item["declaration"], item["group"]))


def _not_serving_reason(report, stale, unseen_by):
    """Return why a group does not serve callers of all gateways; empty if it does."""
    if stale:
        return "no-news"
    if report.reason or not unseen_by:
        return report.reason
    return f"not-seen-by-{','.join(unseen_by)}"


def _service_statuses(agent):
    statuses = [report._asdict() for report in _reports(agent, SERVICE_PREFIX)]
    return sorted(statuses, key=lambda item: (item["service"], item["vm"]))


def _declaration_statuses(agent, fleet):
    groups = _group_statuses(agent, 1e9)
    statuses = []
    for name, declared_group in sorted(fleet.configuration.group.items()):
        formed_groups = [group for group in groups if group["declaration"] == name]
        statuses.append(
            {
                "declaration": name,
                "wanted": declared_group.count,
                "formed": len(formed_groups),
                "serving": sum(group["serving"] for group in formed_groups),
                "vms_selected": len(
                    fleet.resolved_configuration.group_vms.get(name, ())
                ),
            }
        )
    return statuses


def _shard_holders(fleet, shard_manager):
    domains = sorted({vm.domain for vm in fleet.vms})
    return {domain: shard_manager.leases.holder_of(domain) for domain in domains}


def _free_vm_counts(shard_manager):
    """Return the number of unclaimed VMs by domain, for shards held here."""
    counts = {}
    for domain, worker in shard_manager.workers.items():
        claims = worker.shard.groups.claims
        counts[domain] = sum(name not in claims for name in worker.shard.vms)
    return counts
