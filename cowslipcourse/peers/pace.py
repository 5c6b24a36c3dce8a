"""How often daemons tell each other that they live; pure decisions.

Inside a data centre each daemon tells all others, so what one hears grows with their
number while its budget does not. The time between heartbeats grows instead. Reporters
keep the shortest time: the reading of the store and the forming of groups depend on
them, and there are two at most.
"""

__all__ = [
    "digest_interval_s",
    "heartbeat_interval_s",
    "liveness_timeout_s",
    "routable_timeout_s",
]

FULL_RATE_DAEMONS = 8
"""Daemons in a data centre up to which none slows down: 32 heartbeats a second."""
FULL_DIGEST_RATE_DAEMONS = 16
"""Daemons in a data centre beyond which its digests become rarer: they name what all of
them have in flight, and every daemon elsewhere gets a copy."""
MAX_DIGEST_INTERVAL_S = 0.5
"""Two digests may be lost before a data centre counts as gone."""
MAX_MISSED_HEARTBEATS = 2.5
"""Heartbeats after whose absence callers are sent elsewhere: one may be lost."""


def heartbeat_interval_s(settings, local_daemon_count, is_reporter):
    """Return the seconds between the heartbeats of a daemon.

    :param settings: :class:`~cowslipcourse.entry.settings.PeerSettings`
    :param local_daemon_count: daemons in its data centre.
    :param is_reporter: whether it reads the store for the others.
    """
    if is_reporter:
        return settings.interval_s
    return settings.interval_s * max(1.0, local_daemon_count / FULL_RATE_DAEMONS)


def digest_interval_s(settings, local_daemon_count):
    """Return the seconds between digests that say what a data centre has in flight.

    :param settings: :class:`~cowslipcourse.entry.settings.PeerSettings`
    :param local_daemon_count: daemons in the data centre.
    """
    scaled_s = settings.interval_s * max(
        1.0, local_daemon_count / FULL_DIGEST_RATE_DAEMONS
    )
    return min(MAX_DIGEST_INTERVAL_S, scaled_s)


def liveness_timeout_s(settings, heartbeat):
    """Return the silence after which the sender of a heartbeat counts as gone.

    :param heartbeat: its last :class:`~cowslipcourse.peers.Heartbeat`.
    """
    return settings.alive_s * heartbeat.interval_s / settings.interval_s


def routable_timeout_s(settings, heartbeat):
    """Return the silence after which callers are no longer sent to a daemon.

    :param heartbeat: its last :class:`~cowslipcourse.peers.Heartbeat`.
    """
    return max(settings.listed_s, MAX_MISSED_HEARTBEATS * heartbeat.interval_s)
