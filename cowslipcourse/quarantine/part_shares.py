"""How common parts of prompts are, from the latest requests of all daemons."""

from collections import Counter, OrderedDict, deque

from cowslipcourse.quarantine.fingerprints import SERVICE_BYTES

__all__ = ["PartSample", "PartShares", "PoolHistories", "PoolHistory"]

MAX_SAMPLED_REQUESTS = 512
"""Latest requests to a pool that a daemon samples: some tens of seconds of them."""
MAX_POOLS = 32
PRIOR_WITH_PART = 1
PRIOR_REQUESTS = 4
"""Requests that are assumed before any is seen, one of them with the part: daemons that
have just started take every part for common, as they cannot tell."""
MAX_PARTS = 4_096
MAX_REPORTERS = 64
MAX_ANSWERS = 256


class PartSample:
    """The latest requests to a pool of targets."""

    def __init__(self):
        self.counts = Counter()
        self._requests = deque()

    def __len__(self):
        return len(self._requests)

    def odds(self, part):
        """Return how many requests with a part come for one without it."""
        with_part = self.counts[part]
        return with_part / (len(self._requests) - with_part + 1)

    def add(self, parts):
        """Add a request; the oldest one is dropped.

        :param parts: fingerprints of the shared parts of its prompt.
        """
        self._requests.append(parts)
        self.counts.update(parts)
        if len(self._requests) > MAX_SAMPLED_REQUESTS:
            oldest = self._requests.popleft()
            self.counts.subtract(oldest)
            for part in oldest:
                if not self.counts[part]:
                    del self.counts[part]


class PoolHistory:
    """The latest requests to a pool of targets that run the same requests, and the
    latest whole answers.
    """

    def __init__(self):
        self.sample = PartSample()
        self._answers = deque(maxlen=MAX_ANSWERS)

    def record_answer(self, parts, begun_at):
        """Record a whole answer.

        :param parts: fingerprints of the shared parts of the prompt.
        :param begun_at: loop time at which the target began to answer.
        """
        self._answers.append((parts, begun_at))

    def expected_answers(self, part, since, until):
        """Return how many answers with a part would have been begun in an interval.

        :param since: loop time of its start.
        :param until: loop time of its end.
        :returns: the number by that of the answers without the part, if it were sound.
        """
        others = sum(
            since < begun_at < until and part not in parts
            for parts, begun_at in self._answers
        )
        return others * self.sample.odds(part)


class PoolHistories:
    """The :class:`PoolHistory` of each pool, of the requests of this daemon."""

    def __init__(self):
        self._histories = OrderedDict()

    def of_pool(self, pool):
        """Return the history of a pool.

        :param pool: hashable id of the pool, whose first element is its service.
        """
        if pool not in self._histories:
            self._histories[pool] = PoolHistory()
            if len(self._histories) > MAX_POOLS:
                self._histories.popitem(last=False)
        return self._histories[pool]

    def expected_answers(self, part, since, until):
        """Return the sum of those of all pools of the service of a part."""
        service = part[:SERVICE_BYTES]
        return sum(
            history.expected_answers(part, since, until)
            for pool, history in self._histories.items()
            if pool[0] == service
        )


class PartShares:
    """Shares of parts among the requests to a service, from the samples of daemons."""

    def __init__(self):
        self._counts = OrderedDict()

    def add(self, reporter, part, count, sampled_requests):
        """Add what a daemon has counted, in place of what it counted before.

        :param reporter: address of the daemon.
        """
        counts = self._counts.pop(part, None) or {}
        if reporter in counts or len(counts) < MAX_REPORTERS:
            counts[reporter] = count, sampled_requests
        self._counts[part] = counts
        if len(self._counts) > MAX_PARTS:
            self._counts.popitem(last=False)

    def counts(self, part):
        """Return the number of sampled requests with a part, and of all of them."""
        counts = self._counts.get(part, {}).values()
        with_part = sum(count for count, _ in counts)
        return with_part, sum(sampled for _, sampled in counts)

    def share(self, part):
        """Return the estimated fraction of the requests to the service with a part."""
        with_part, sampled = self.counts(part)
        share = (with_part + PRIOR_WITH_PART) / (sampled + PRIOR_REQUESTS)
        # A report may be wrong.
        return min(share, 1.0)
