"""Read configuration and targets from peers: from whom, and what they answer."""

import aiohttp

from cowslipcourse.exceptions import PeerUnreachable
from cowslipcourse.peers import decode_state

__all__ = ["PeerReadPolicy", "read_state"]

BEHIND_S = 0.3
"""Time for a push to arrive before the state is read instead."""
PEER_TIMEOUT_S = 1.0
"""Longest read of a peer's state: 20 KB over a link of 20 Mbit/s that others use."""
FIRST_PAUSE_S = 0.1
MAX_BACKOFF_S = 0.8
"""Pauses after reads of which none succeeded: whoever reads again at once keeps the
links full that made the first reads late."""


class PeerReadPolicy:
    """Decides whether peers must be read, and which.

    :param registry: :class:`~cowslipcourse.peers.PeerRegistry`
    :param rng: :class:`random.Random` that spreads reads over peers.
    """

    def __init__(self, registry, rng):
        self._registry = registry
        self._rng = rng
        self._missed = None
        self._pause_s = FIRST_PAUSE_S
        self._paused_until = 0.0

    def sources(self, knowledge, now):
        """Return the members to read from, in order, if something is missing.

        :param knowledge: has ``configuration_version``, ``targets_version``,
            ``is_current`` and ``follows_store``.
        :param now: loop time.
        """
        if now < self._paused_until:
            return []
        newer = self._registry.with_newer_configuration(
            knowledge.configuration_version, now
        )
        if newer:
            return self._shuffled(newer)
        near = [
            heartbeat
            for heartbeat in self._registry.local_heartbeats(now)
            if heartbeat.is_healthy
        ]
        wanted = self._missed_version(knowledge, near, now)
        if wanted is not None:
            return self._shuffled(
                [h.member for h in near if h.targets_version >= wanted]
            )
        if knowledge.is_current:
            return []
        others = [digest.reporter for digest in self._registry.remote_digests(now)]
        return self._shuffled([h.member for h in near]) + others

    def note(self, succeeded, now):
        """Note whether one of the sources answered."""
        if succeeded:
            self._pause_s = FIRST_PAUSE_S
            return
        self._paused_until = now + self._pause_s * self._rng.uniform(0.5, 1.5)
        self._pause_s = min(MAX_BACKOFF_S, 2 * self._pause_s)

    def _shuffled(self, members):
        """Any of them: the link of one could not serve its whole data centre."""
        self._rng.shuffle(members)
        return members

    def _missed_version(self, knowledge, near, now):
        """Return the version that a lost push must have brought, or ``None``."""
        newest = max((h.targets_version for h in near), default=0)
        if knowledge.follows_store or newest <= knowledge.targets_version:
            self._missed = None
            return None
        if self._missed is None or self._missed[0] <= knowledge.targets_version:
            self._missed = newest, now
        wanted, since = self._missed
        return wanted if now - since >= BEHIND_S else None


async def read_state(session, address, configuration, targets):
    """Return the :class:`~cowslipcourse.peers.PeerState` of a peer.

    :param session: :class:`aiohttp.ClientSession`
    :param address: ``ip:port`` of the peer.
    :param configuration: version of the configuration that is known here.
    :param targets: store version of the targets that are known here.
    :raises PeerUnreachable: no answer in time.
    :raises MalformedAnswer: the answer cannot be read.
    """
    known = {"configuration": str(configuration), "targets": str(targets)}
    timeout = aiohttp.ClientTimeout(total=PEER_TIMEOUT_S)
    try:
        async with session.get(
            f"http://{address}/state", params=known, timeout=timeout
        ) as response:
            content = await response.read()
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        raise PeerUnreachable(repr(error)) from error
    if response.status != 200:
        raise PeerUnreachable(f"answered {response.status}")
    return decode_state(content)
