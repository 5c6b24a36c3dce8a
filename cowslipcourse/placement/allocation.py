"""Allocation of a declaration's groups to fabric domains.

Every controller computes it from the same list and configuration, so no agreement is
needed: at worst, different views form an excess group, which is then retired
gracefully.
"""

from typing import NamedTuple

__all__ = ["Demand", "allocate"]


class Demand(NamedTuple):
    """Groups that one declaration requires, and what the domains offer.

    :param count: total number of groups required.
    :param vms_per_group: VMs of each.
    :param candidates: number of candidate VMs by domain.
    :param formed: groups currently formed, by domain.
    """

    count: int
    vms_per_group: int
    candidates: dict[str, int]
    formed: dict[str, int]


def allocate(demand):
    """Return the number of groups by domain.

    Existing groups keep their domains; new ones go where most VMs are left over, which
    leaves spares beside as many groups as possible.

    :param demand: :class:`Demand`
    """
    size = demand.vms_per_group
    capacity = {domain: vms // size for domain, vms in demand.candidates.items()}
    allocated = dict.fromkeys(demand.candidates, 0)
    remaining = demand.count
    by_formed = sorted(allocated, key=lambda d: (-demand.formed.get(d, 0), d))
    for domain in by_formed:
        kept = min(demand.formed.get(domain, 0), capacity[domain], remaining)
        allocated[domain] += kept
        remaining -= kept
    while remaining > 0:
        open_domains = [
            domain for domain in allocated if allocated[domain] < capacity[domain]
        ]
        if not open_domains:
            break

        def vms_left(domain):
            return demand.candidates[domain] - allocated[domain] * size

        best = min(open_domains, key=lambda domain: (-vms_left(domain), domain))
        allocated[best] += 1
        remaining -= 1
    return allocated
