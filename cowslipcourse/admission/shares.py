"""Weighted max-min fair shares."""

__all__ = ["max_min_shares"]


def max_min_shares(capacity, demands, weights):
    """Divide capacity so that nobody gets more than asked and the rest is fair.

    :param capacity: what there is to divide.
    :param demands: demand by workspace.
    :param weights: weight by workspace.
    :returns: share by workspace.
    """
    shares = {}
    left = float(capacity)
    open_demands = dict(demands)
    while open_demands:
        total = sum(weights[name] for name in open_demands)
        level = left / total
        small = [n for n, d in open_demands.items() if d <= level * weights[n]]
        if not small:
            shares.update({n: level * weights[n] for n in open_demands})
            break
        for name in small:
            shares[name] = open_demands.pop(name)
            left -= shares[name]
    return shares
