"""Content of the response that lists gateway addresses for callers."""

from cowslipcourse.daemon import now
from cowslipcourse.membership import Role
from cowslipcourse.requests.keys import key_prefix

__all__ = ["address_content"]


def address_content(context, is_draining):
    """Return gateway addresses in order of preference, and for how long to cache them.

    The responding gateway comes first unless it is stopping, which distributes callers
    as they are distributed over gateways; then come gateways of its data centre in
    random order, then the others.

    :param context: :class:`~cowslipcourse.gateway.context.GatewayContext`
    :param is_draining: whether this gateway is stopping.
    """
    agent = context.agent
    own = agent.member
    unavailable = context.fleet_view.leaving_gateways() | agent.silent_members()
    usable_members = []
    for member in agent.revision.members.values() if agent.revision else ():
        if member.role != Role.GATEWAY or member.name in unavailable or member == own:
            continue
        contact = agent.contacts.get(member.name)
        if contact is None or not contact.stopped:
            usable_members.append(member)
    context.rng.shuffle(usable_members)
    usable_members.sort(key=lambda member: member.data_centre != own.data_centre)
    addresses = [member.public_address for member in usable_members]
    if not is_draining and agent.may_serve():
        addresses.insert(0, own.public_address)
    window = context.outcomes.window(now())
    return {
        "addresses": addresses,
        "keep_s": context.settings.time.address_ttl_s,
        "key_prefix": key_prefix(own.name, own.incarnation, window),
        "key_keep_s": context.settings.limits.key_window_s
        * (context.settings.limits.key_windows - 1),
    }
