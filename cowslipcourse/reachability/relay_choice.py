"""Which daemon relays the requests of one that has lost its links to the targets."""

__all__ = ["MAX_RELAYS_PER_REQUEST", "RelayChoice"]

MAX_RELAYS_PER_REQUEST = 8
"""Daemons that a request is sent to before it is tried over this daemon's own links. If
five of eight daemons have lost theirs, one request in fifty finds no other."""
PROVEN_S = 2.0
"""Time for which a daemon that has relayed a request is preferred to unknown ones."""
MIN_PROVEN_COUNT = 8
"""Proven daemons below which unknown ones are asked too, so that the load is spread."""
REST_S = 1.0
"""Time for which a daemon that could not relay is not asked again."""
MAX_RESTING_NEIGHBOURS = 2
"""Daemons of the own data centre that could not relay, after which others are asked:
the whole data centre may have lost its links. Traffic between data centres is billed.
"""


class RelayChoice:
    """Chooses relays, and remembers for a moment which daemons could relay.

    :param data_centre: this daemon's own data centre.
    :param rng: :class:`random.Random`
    """

    def __init__(self, data_centre, rng):
        self._data_centre = data_centre
        self._rng = rng
        self._rests_until = {}
        self._proven_until = {}

    def record_failure(self, name, now):
        """Record that a daemon could not relay a request.

        :param name: name of the daemon.
        :param now: loop time.
        """
        self._proven_until.pop(name, None)
        self._rests_until = _unexpired(self._rests_until, now)
        self._rests_until[name] = now + REST_S

    def record_success(self, name, now):
        """Record that a daemon has relayed a request.

        :param name: name of the daemon.
        :param now: loop time.
        """
        self._proven_until = _unexpired(self._proven_until, now)
        self._proven_until[name] = now + PROVEN_S

    def choose(self, members, tried_names, now):
        """Return the daemon to send a request to, or ``None``.

        :param members: list of :class:`~cowslipcourse.peer_protocol.Member` that
            callers may be sent to, without this daemon.
        :param tried_names: names of the daemons that the request was sent to already.
        :param now: loop time.
        """
        if len(tried_names) >= MAX_RELAYS_PER_REQUEST:
            return None
        usable = [
            member
            for member in members
            if member.name not in tried_names and not self._rests(member, now)
        ]
        pool = self._nearest(usable, members, now)
        proven = [m for m in pool if self._proven_until.get(m.name, now) > now]
        if len(proven) >= MIN_PROVEN_COUNT:
            pool = proven
        return self._rng.choice(pool) if pool else None

    def _nearest(self, usable, members, now):
        """Return usable neighbours, unless too many neighbours could not relay."""
        neighbours = [m for m in usable if self._is_neighbour(m)]
        elsewhere = [m for m in usable if not self._is_neighbour(m)]
        resting_count = sum(
            self._is_neighbour(member) and self._rests(member, now)
            for member in members
        )
        if resting_count >= MAX_RESTING_NEIGHBOURS:
            return elsewhere or neighbours
        return neighbours or elsewhere

    def _is_neighbour(self, member):
        return member.data_centre == self._data_centre

    def _rests(self, member, now):
        return self._rests_until.get(member.name, now) > now


def _unexpired(until_by_name, now):
    return {name: until for name, until in until_by_name.items() if until > now}
