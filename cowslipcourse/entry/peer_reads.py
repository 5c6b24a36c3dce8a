"""Choose peers to read configuration and targets from, and read their state."""

from cowslipcourse.exceptions import PeerUnreachable, TargetError
from cowslipcourse.peer_protocol import decode_state

__all__ = ["PeerReadPolicy", "read_state"]

PUSH_GRACE_S = 0.3
"""Time for a push to arrive before the state of a peer is read instead."""
PEER_TIMEOUT_S = 1.0
"""Longest read of a peer's state: 20 KB over a shared link of 20 Mbit/s."""
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.8
"""Limits of the back-off after failed reads: immediate retries would keep the links
congested that delayed the first reads."""


class PeerReadPolicy:
    """Decides whether to read peers, which of them, and when to back off.

    :param registry: :class:`~cowslipcourse.peer_protocol.PeerRegistry`
    :param rng: :class:`random.Random` that spreads reads over peers.
    """

    def __init__(self, registry, rng):
        self._registry = registry
        self._rng = rng
        self._missed_push = None
        self._backoff_s = INITIAL_BACKOFF_S
        self._backoff_until = 0.0

    def sources(self, replica, now):
        """Return the members to read from, in order; empty if nothing is missing.

        :param replica: has ``configuration_version``, ``targets_version``,
            ``is_current`` and ``follows_store``.
        :param now: loop time.
        """
        if now < self._backoff_until:
            return []
        newer = self._registry.with_newer_configuration(
            replica.configuration_version, now
        )
        if newer:
            return self._shuffled(newer)
        local_heartbeats = [
            heartbeat
            for heartbeat in self._registry.local_heartbeats(now)
            if heartbeat.is_healthy
        ]
        wanted_version = self._missed_version(replica, local_heartbeats, now)
        if wanted_version is not None:
            return self._shuffled(
                [
                    h.member
                    for h in local_heartbeats
                    if h.targets_version >= wanted_version
                ]
            )
        if replica.is_current:
            return []
        others = [digest.reporter for digest in self._registry.remote_digests(now)]
        return self._shuffled([h.member for h in local_heartbeats]) + others

    def record_result(self, succeeded, now):
        """Record whether one of the sources answered, which resets the back-off."""
        if succeeded:
            self._backoff_s = INITIAL_BACKOFF_S
            return
        self._backoff_until = now + self._backoff_s * self._rng.uniform(0.5, 1.5)
        self._backoff_s = min(MAX_BACKOFF_S, 2 * self._backoff_s)

    def _shuffled(self, members):
        """Shuffle members: the link of one could not serve its whole data centre."""
        self._rng.shuffle(members)
        return members

    def _missed_version(self, replica, local_heartbeats, now):
        """Return the version that a lost push must have contained, or ``None``."""
        newest = max((h.targets_version for h in local_heartbeats), default=0)
        if replica.follows_store or newest <= replica.targets_version:
            self._missed_push = None
            return None
        if self._missed_push is None or self._missed_push[0] <= replica.targets_version:
            self._missed_push = newest, now
        wanted_version, missed_since = self._missed_push
        return wanted_version if now - missed_since >= PUSH_GRACE_S else None


async def read_state(
    http_client, address, configuration_version, targets_version, evacuations_version
):
    """Return the :class:`~cowslipcourse.peer_protocol.PeerState` of a peer.

    :param http_client: :class:`~cowslipcourse.http_client.HttpClient`
    :param address: ``ip:port`` of the peer.
    :param configuration_version: known version of the configuration.
    :param targets_version: known store version of the targets.
    :param evacuations_version: known store version of the evacuated data centres.
    :raises PeerUnreachable: if no successful answer arrives in time.
    :raises MalformedResponse: if the answer cannot be decoded.
    """
    path = (
        f"/state?configuration={configuration_version}&targets={targets_version}"
        f"&evacuations={evacuations_version}"
    )
    try:
        head, content = await http_client.get(address, path, PEER_TIMEOUT_S)
    except TargetError as error:
        raise PeerUnreachable(repr(error)) from error
    if head.status != 200:
        raise PeerUnreachable(f"answered {head.status}")
    return decode_state(content)
