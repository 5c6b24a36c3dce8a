"""Weighted max-min fair shares."""

__all__ = ["max_min_shares"]


def max_min_shares(capacity, demands, weights):
    """Divide capacity max-min fairly: no workspace gets more than its demand.

    :param capacity: capacity to divide.
    :param demands: demand by workspace.
    :param weights: weight by workspace.
    :returns: share by workspace.
    """
    shares = {}
    remaining = float(capacity)
    unmet_demands = dict(demands)
    while unmet_demands:
        total_weight = sum(weights[name] for name in unmet_demands)
        unit_share = remaining / total_weight
        satisfied = [
            n for n, d in unmet_demands.items() if d <= unit_share * weights[n]
        ]
        if not satisfied:
            shares.update({n: unit_share * weights[n] for n in unmet_demands})
            break
        for name in satisfied:
            shares[name] = unmet_demands.pop(name)
            remaining -= shares[name]
    return shares
