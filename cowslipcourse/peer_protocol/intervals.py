"""Intervals and timeouts of heartbeats and digests; pure functions.

Inside a data centre each daemon sends heartbeats to all others, so the traffic that one
receives would grow with their number while its budget does not. The heartbeat interval
grows instead. Reporters keep the shortest interval, since reading the store and forming
groups depend on them, and there are two at most.
"""

__all__ = [
    "REPORTER_TIMEOUT_S",
    "digest_interval_s",
    "heartbeat_interval_s",
    "liveness_timeout_s",
    "reading_timeout_s",
    "routable_timeout_s",
]

FULL_RATE_DAEMONS = 8
"""Daemons in a data centre up to which all send at the full rate: 32 heartbeats/s."""
FULL_DIGEST_RATE_DAEMONS = 16
"""Daemons in a data centre beyond which its digests are sent less often: they list the
requests in flight of all of them, and every daemon elsewhere gets a copy."""
MAX_DIGEST_INTERVAL_S = 0.5
"""Allows for two lost digests before a data centre is considered gone."""
REPORTER_TIMEOUT_S = 0.6
"""Silence of the first reporter, which sends four times a second, after which the
second one becomes the active reporter."""
MAX_MISSED_HEARTBEATS = 2.5
"""Heartbeat intervals without a message after which callers are sent elsewhere; allows
for one lost heartbeat."""


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
    """Return the seconds between digests that list the requests in flight.

    :param settings: :class:`~cowslipcourse.entry.settings.PeerSettings`
    :param local_daemon_count: daemons in the data centre.
    """
    scaled_s = settings.interval_s * max(
        1.0, local_daemon_count / FULL_DIGEST_RATE_DAEMONS
    )
    return min(MAX_DIGEST_INTERVAL_S, scaled_s)


def liveness_timeout_s(settings, heartbeat):
    """Return the seconds of silence after which a daemon is considered gone.

    :param heartbeat: its last :class:`~cowslipcourse.peer_protocol.Heartbeat`.
    """
    return settings.alive_s * heartbeat.interval_s / settings.interval_s


def routable_timeout_s(settings, heartbeat):
    """Return the seconds of silence after which callers are not sent to a daemon.

    :param heartbeat: its last :class:`~cowslipcourse.peer_protocol.Heartbeat`.
    """
    return max(settings.listed_s, MAX_MISSED_HEARTBEATS * heartbeat.interval_s)


def reading_timeout_s(settings, heartbeat):
    """Return the seconds of silence after which another daemon reads the store.

    :param heartbeat: its last :class:`~cowslipcourse.peer_protocol.Heartbeat`.
    """
    return REPORTER_TIMEOUT_S * heartbeat.interval_s / settings.interval_s
