"""Medians without the standard library's statistics, whose import delays a start."""

__all__ = ["median", "median_low"]


def median(values):
    """Return the median of a non-empty iterable of numbers."""
    ordered = sorted(values)
    middle = len(ordered) // 2
    if len(ordered) % 2:
        return ordered[middle]
    return (ordered[middle - 1] + ordered[middle]) / 2


def median_low(values):
    """Return the lower median of a non-empty iterable of numbers."""
    ordered = sorted(values)
    return ordered[(len(ordered) - 1) // 2]
