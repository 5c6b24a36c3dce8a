"""Which targets are probed, and what the results say about this daemon's links."""

import itertools

__all__ = ["PROBE_COUNT", "choose_probed", "reaches_targets"]

PROBE_COUNT = 4
"""Targets probed at once: a lost packet or a failed domain must not look like the loss
of all links."""


def choose_probed(entries, rng):
    """Return the targets to probe, from as many data centres and domains as possible.

    :param entries: iterable of listed :class:`~cowslipcourse.ports.TargetEntry`.
    :param rng: :class:`random.Random`
    :returns: list of at most ``PROBE_COUNT`` entries.
    """
    shuffled = list(entries)
    rng.shuffle(shuffled)
    by_data_centre = {}
    for entry in shuffled:
        by_domain = by_data_centre.setdefault(entry.data_centre, {})
        by_domain.setdefault(entry.domain, []).append(entry)
    by_turns = _take_turns(map(_take_turns, map(dict.values, by_data_centre.values())))
    return by_turns[:PROBE_COUNT]


def _take_turns(lists):
    """Return the elements of lists, one of each list in turn."""
    rounds = itertools.zip_longest(*lists)
    return [item for each in rounds for item in each if item is not None]


def reaches_targets(reached_before, probed_count, reached_count):
    """Return whether this daemon reaches targets, after a round of probes.

    The links are lost once every probe fails, and back once most probes succeed: links
    that come back to a few targets only are of little use.

    :param reached_before: whether it has reached targets so far.
    :param probed_count: number of probed targets.
    :param reached_count: number of those that have accepted a connection.
    """
    if not probed_count:
        return True
    if reached_before:
        return reached_count > 0
    return 2 * reached_count > probed_count
