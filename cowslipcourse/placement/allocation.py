"""How many groups of a declaration each fabric domain forms.

Every controller works this out from the same list and configuration, so nothing
has to be agreed: the worst that different views can do is form a group too many,
which is then given up gracefully.
"""

from typing import NamedTuple

__all__ = ["Demand", "allocate"]


class Demand(NamedTuple):
    """What one declaration wants of the domains.

    :param count: groups wanted in all.
    :param vms_per_group: VMs of each.
    :param candidates: number of candidate VMs by domain.
    :param formed: groups formed now by domain.
    """

    count: int
    vms_per_group: int
    candidates: dict[str, int]
    formed: dict[str, int]


def allocate(demand):
    """Return the number of groups by domain.

    Groups stay where they are; new ones go where most VMs are left over, which
    leaves spares beside as many groups as possible.

    :param demand: :class:`Demand`
    """
    size = demand.vms_per_group
    room = {domain: vms // size for domain, vms in demand.candidates.items()}
    given = dict.fromkeys(demand.candidates, 0)
    left = demand.count
    by_formed = sorted(given, key=lambda d: (-demand.formed.get(d, 0), d))
    for domain in by_formed:
        kept = min(demand.formed.get(domain, 0), room[domain], left)
        given[domain] += kept
        left -= kept
    while left > 0:
        open_domains = [domain for domain in given if given[domain] < room[domain]]
        if not open_domains:
            break

        def vms_left(domain):
            return demand.candidates[domain] - given[domain] * size

        best = min(open_domains, key=lambda domain: (-vms_left(domain), domain))
        given[best] += 1
        left -= 1
    return given
