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


def system_status(services, acceptor, keeper):
    """Return the state of groups, services, daemons and revisions.

    :param services: :class:`~cowslipcourse.controller.services.Services`
    :param acceptor: :class:`~cowslipcourse.controller.acceptor.Acceptor`
    :param keeper: :class:`~cowslipcourse.controller.shards.ShardKeeper`
    """
    agent, watch = services.agent, services.watch
    revision = agent.revision
    return {
        "from": agent.member.name,
        "revision": revision.number if revision else 0,
        "accepted": acceptor.accepted,
        "missing": acceptor.members_behind(),
        "serving": agent.may_serve(),
        "table_answers": agent.table_answered,
        "vm_list_age_s": _rounded(watch.list_age_s),
        "problems": [str(problem) for problem in watch.problems],
        "daemons": _daemons(agent),
        "declarations": _declarations(agent, watch),
        "groups": _groups(agent, services.settings.time.grant_s),
        "services": _services(agent),
        "shards": _shards(watch, keeper),
        "spares": _spares(keeper),
    }


def _rounded(seconds):
    return None if seconds is None else round(seconds, 1)


def _daemons(agent):
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
        for daemon in _daemons(agent)
        if daemon["role"] == Role.GATEWAY and daemon["state"] == "serving"
    }
    for record in agent.records.with_prefix(GATEWAY_PREFIX):
        report = decode_report(record)
        if report.gateway in seen and record.observed_at >= oldest:
            seen[report.gateway] = report.sees
    return seen


def _groups(agent, grant_s):
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


def _services(agent):
    found = [report._asdict() for report in _reports(agent, SERVICE_PREFIX)]
    return sorted(found, key=lambda item: (item["service"], item["vm"]))


def _declarations(agent, watch):
    groups = _groups(agent, 1e9)
    found = []
    for name, declared in sorted(watch.configuration.group.items()):
        own = [group for group in groups if group["declaration"] == name]
        found.append(
            {
                "declaration": name,
                "wanted": declared.count,
                "formed": len(own),
                "serving": sum(group["serving"] for group in own),
                "vms_selected": len(watch.resolved.group_vms.get(name, ())),
            }
        )
    return found


def _shards(watch, keeper):
    domains = sorted({vm.domain for vm in watch.vms})
    return {domain: keeper.leases.holder_of(domain) for domain in domains}


def _spares(keeper):
    """Free VMs by domain, for the shards that this controller holds."""
    found = {}
    for domain, worker in keeper.workers.items():
        claims = worker.shard.groups.claims
        found[domain] = sum(name not in claims for name in worker.shard.vms)
    return found
