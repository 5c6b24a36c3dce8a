"""Order of loads when the weight store cannot serve all members at once."""

from typing import NamedTuple

__all__ = ["LoadNeed", "load_order"]


class LoadNeed(NamedTuple):
    """A group that needs loads before it can serve.

    :param group: group id.
    :param unloaded: number of members that must load.
    :param loaded: number of members that are already loaded.
    :param is_blocked: whether a member is absent, so that loads alone do not help.
    :param accelerators_per_vm: accelerators of one VM.
    """

    group: str
    unloaded: int
    loaded: int
    is_blocked: bool
    accelerators_per_vm: int


def load_order(needs, weights):
    """Return the groups in descending order of cost saved per load.

    Loading the members that a group lacks ends its downtime and frees its healthy
    accelerators, so its gain is what both cost, divided by the loads it takes.

    :param needs: iterable of :class:`LoadNeed`
    :param weights: :class:`~cowslipcourse.placement.Weights`
    """

    def key(need):
        accelerators = (need.unloaded + need.loaded) * need.accelerators_per_vm
        gain = weights.downtime + weights.stranded * accelerators
        return (need.is_blocked, -gain / max(1, need.unloaded), need.group)

    return sorted(needs, key=key)
