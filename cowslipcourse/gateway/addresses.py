"""Which addresses callers are told to use."""

from cowslipcourse.daemon import now
from cowslipcourse.membership import Role
from cowslipcourse.requests.keys import key_prefix

__all__ = ["address_answer"]


def address_answer(context, leaving):
    """Return addresses in order of preference, and how long to keep them.

    The answering gateway comes first while it stays, so that callers spread as they
    ask; then others of its data centre, then the rest.

    :param context: :class:`~cowslipcourse.gateway.tools.GatewayContext`
    :param leaving: whether this gateway is stopping.
    """
    agent = context.agent
    own = agent.member
    gone = context.fleet_view.leaving_gateways() | agent.silent_members()
    usable = []
    for member in agent.revision.members.values() if agent.revision else ():
        if member.role != Role.GATEWAY or member.name in gone or member == own:
            continue
        contact = agent.contacts.get(member.name)
        if contact is None or not contact.stopped:
            usable.append(member)
    context.rng.shuffle(usable)
    usable.sort(key=lambda member: member.data_centre != own.data_centre)
    addresses = [member.public_address for member in usable]
    if not leaving and agent.may_serve():
        addresses.insert(0, own.public_address)
    window = context.outcomes.window(now())
    return {
        "addresses": addresses,
        "keep_s": context.settings.time.address_ttl_s,
        "key_prefix": key_prefix(own.name, own.incarnation, window),
        "key_keep_s": context.settings.limits.key_window_s
        * (context.settings.limits.key_windows - 1),
    }
