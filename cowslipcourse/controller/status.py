"""What operators see of the system as it runs."""

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

    :param context: :class:`~cowslipcourse.controller.services.ControllerContext`
    :param acceptor: :class:`~cowslipcourse.controller.acceptor.RevisionAcceptor`
    :param shard_manager: :class:`~cowslipcourse.controller.shards.ShardManager`
    """
    agent, fleet = context.agent, context.fleet
    revision = agent.revision
    return {
        "from": agent.member.name,
        "revision": revision.number if revision else 0,
        "accepted": acceptor.accepted,
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
    found = []
    if agent.revision is None:
        return found
    leaving = {
        report.gateway for report in _reports(agent, GATEWAY_PREFIX) if report.leaving
    }
    for member in agent.revision.members.values():
        contact = agent.contacts.get(member.name)
        if member == agent.member:
            state, number, age_s = "serving", agent.revision.number, 0.0
        elif contact is None:
            state, number, age_s = "unheard", 0, None
        else:
            age_s = now() - contact.sent_at
            silent = age_s > agent.times.isolation_s
            state = "silent" if silent else "stopped" if contact.stopped else "serving"
            number = contact.revision
        if member.name in leaving and state == "serving":
            state = "leaving"
        found.append(
            {
                "name": member.name,
                "role": member.role,
                "data_centre": member.data_centre,
                "state": state,
                "revision": number,
                "heard_s": _rounded(age_s),
                "address": member.public_address,
            }
        )
    return sorted(found, key=lambda item: item["name"])


def _reports(agent, prefix):
    return [decode_report(record) for record in agent.records.with_prefix(prefix)]


def _seen_by_gateway(agent):
    """Return the groups that each gateway which takes callers knows to serve.

    A controller knows first: right after a start callers found no group at a gateway
    for a second or two, though status called all groups serving.
    """
    oldest = now() - agent.times.isolation_s
    seen = {
        daemon["name"]: ()
        for daemon in _daemon_statuses(agent)
        if daemon["role"] == Role.GATEWAY and daemon["state"] == "serving"
    }
    for record in agent.records.with_prefix(GATEWAY_PREFIX):
        report = decode_report(record)
        if report.gateway in seen and record.observed_at >= oldest:
            seen[report.gateway] = report.visible_groups
    return seen


def _group_statuses(agent, grant_s):
    found = []
    seen = _seen_by_gateway(agent)
    for record in agent.records.with_prefix(GROUP_PREFIX):
        report = decode_report(record)
        if report.spec.state == "dissolved":
            continue
        age_s = now() - record.observed_at
        stale = age_s > grant_s
        unseen_by = sorted(
            g for g, sees in seen.items() if report.spec.group not in sees
        )
        found.append(
            {
                "group": report.spec.group,
                "declaration": report.spec.declaration,
                "domain": report.spec.domain,
                "model": f"{report.spec.model}@{report.spec.version}",
                "epoch": report.spec.epoch,
                "serving": report.serving and not stale and not unseen_by,
                "reason": _reason(report, stale, unseen_by),
                "unseen_by": unseen_by,
                "heard_s": _rounded(age_s),
                "members": report.spec.vm_names,
                "running": report.load.running,
                "waiting": report.load.waiting,
            }
        )
    return sorted(found, key=lambda item: (item["declaration"], item["group"]))


def _reason(report, stale, unseen_by):
    """Return why a group does not serve callers everywhere, empty if it does."""
    if stale:
        return "no-news"
    if report.reason or not unseen_by:
        return report.reason
    return f"not-seen-by-{','.join(unseen_by)}"


def _service_statuses(agent):
    found = [report._asdict() for report in _reports(agent, SERVICE_PREFIX)]
    return sorted(found, key=lambda item: (item["service"], item["vm"]))


def _declaration_statuses(agent, fleet):
    groups = _group_statuses(agent, 1e9)
    found = []
    for name, declared in sorted(fleet.configuration.group.items()):
        own = [group for group in groups if group["declaration"] == name]
        found.append(
            {
                "declaration": name,
                "wanted": declared.count,
                "formed": len(own),
                "serving": sum(group["serving"] for group in own),
                "vms_selected": len(
                    fleet.resolved_configuration.group_vms.get(name, ())
                ),
            }
        )
    return found


def _shard_holders(fleet, shard_manager):
    domains = sorted({vm.domain for vm in fleet.vms})
    return {domain: shard_manager.leases.holder_of(domain) for domain in domains}


def _free_vm_counts(shard_manager):
    """Free VMs by domain, for the shards that this controller holds."""
    found = {}
    for domain, worker in shard_manager.workers.items():
        claims = worker.shard.groups.claims
        found[domain] = sum(name not in claims for name in worker.shard.vms)
    return found
