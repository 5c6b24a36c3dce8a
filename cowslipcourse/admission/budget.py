"""Retry budgets: retries are a bounded fraction of requests."""

import random
from collections import Counter, deque
from typing import NamedTuple

__all__ = [
    "MAX_LATENESS_S",
    "MIN_DAEMON_COUNT",
    "RetryBudget",
    "SharedRetryBudget",
]

MIN_DAEMON_COUNT = 8
"""Lower bound of the daemons that share a budget: the smallest sites have that many."""
USABLE_SLACK_FRACTION = 0.9
"""Fraction of the slack that is used: daemons may not know of each other for a
second."""
SAVED_FRACTION = 0.5
"""Fraction of the allowance of a window that may be saved; the rest is earned. The more
is saved, the longer a burst of failures can be retried, and the less can be retried
after a start."""
MAX_FIRST_ANSWER_S = 2.0
"""Time from the first send to the first answer after which targets are taken to have
stood still."""
MAX_LATENESS_S = 120.0
"""Time after which a request that was given up is no longer expected to arrive: Linux
resends what a closed connection holds for about 100 s."""
MAX_SERVICES = 1000
"""Services whose buckets are kept; a dropped one starts again with nothing saved."""


class RetryBudget:
    """Token bucket that limits retries to a ratio of requests.

    :param ratio: retries allowed for each request.
    :param burst: largest number of saved retries.
    """

    def __init__(self, ratio=0.1, burst=10.0):
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    @property
    def tokens(self):
        """Retries that may be made now."""
        return self._tokens

    def record_request(self):
        """Record a first attempt."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def try_take(self):
        """Take one retry from the budget; return whether one was available."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class _Bucket:
    """Saved retries of one service, and the times of its recent requests."""

    def __init__(self):
        self.tokens = 0.0
        """Saved retries; negative after requests were withdrawn, and while more may
        still arrive than the present requests allow."""
        self.unsettled = 0
        """Retries of requests in progress that may not have arrived yet."""
        self.is_answered = False
        """Whether a target of the service has answered a request."""
        self.first_sent_at = None
        """Time at which a request was first sent to a target; ``None`` before it."""
        self.slack_added_at = None
        """Time until which the slack has been added; ``None`` before the first time."""
        self.requests = deque()
        """Times of the requests in the last window."""
        self.answers = deque()
        """Times of the answers in the last window."""

    def forget_before(self, at):
        """Forget requests and answers before a time."""
        for times in (self.requests, self.answers):
            while times and times[0] < at:
                times.popleft()


class _LateArrival(NamedTuple):
    service: str
    target: object
    sent_at: float


class _LateArrivals:
    """Retries that may still arrive, in the order in which they were given up.

    A target reads requests in the order in which they were sent, so one that answers a
    request has read those that were sent to it before.
    """

    def __init__(self):
        self._expected = deque()
        self._counts = Counter()

    def count(self, service, now):
        """Return the number of retries that may still arrive at a service."""
        while self._expected and now - self._expected[0].sent_at > MAX_LATENESS_S:
            self._counts[self._expected.popleft().service] -= 1
        return self._counts[service]

    def count_since(self, service, sent_at):
        """Return the number of them that were sent to a service since a time."""
        return sum(
            each.service == service and each.sent_at >= sent_at
            for each in self._expected
        )

    def add(self, service, target, sent_at):
        """Add a retry that was given up.

        :param target: hashable id of the target's incarnation.
        :param sent_at: time at which it was sent, in seconds.
        """
        self._expected.append(_LateArrival(service, target, sent_at))
        self._counts[service] += 1

    def remove_before(self, target, sent_at):
        """Remove what was sent to a target before a request that it has answered."""
        if not any(each.target == target for each in self._expected):
            return
        kept = deque()
        for each in self._expected:
            if each.target == target and each.sent_at <= sent_at:
                self._counts[each.service] -= 1
            else:
                kept.append(each)
        self._expected = kept


class SharedRetryBudget:
    """This daemon's part of a retry budget per service and sliding window.

    All daemons together may retry ``ratio`` of a service's requests in a window, plus
    ``slack``. One part of this allowance is earned with each request and with time.
    The other part limits what is saved for later. A new incarnation of a daemon has
    saved nothing, so what all incarnations of all daemons use in a window is limited by
    what was saved at its start and what is earned within it, whenever they start or
    end. Neither needs the memory of an earlier incarnation. The slack is earned from
    when the number of daemons is known.

    A retry counts when its target reads it, which may be long after it was taken. Until
    it has arrived, it uses up as much of the limit as a saved one. Daemons that have
    ended may have left such retries. So nothing is retried before a target has
    answered, what was saved until then is lost if targets stood still, and the limit
    grows only with requests that targets answer.

    Callers of targets that stand still may leave, so that fewer retries are allowed
    when those that were held arrive. So retries that are sent beside a silent target
    are limited by the slack alone, and what was held beyond the limit of the requests
    that are left is paid back from what is earned.

    :param settings: :class:`~cowslipcourse.entry.settings.RetrySettings`
    :param rng: :class:`random.Random` that decides about fractions of a retry.
    """

    def __init__(self, settings, rng=None):
        self.settings = settings
        self._rng = rng or random.Random()
        self._daemon_count = None
        self._count_known_at = None
        self._buckets = {}
        self._late_arrivals = _LateArrivals()

    @property
    def daemon_count(self):
        """Number of daemons that share the slack; ``None`` while it is unknown."""
        return self._daemon_count

    def set_daemon_count(self, count, now):
        """Set the number of daemons that share the slack."""
        if self._daemon_count is None:
            self._count_known_at = now
        self._daemon_count = count

    def record_request(self, service, now):
        """Record a first attempt at a service."""
        bucket = self._updated(service, now)
        bucket.requests.append(now)
        bucket.tokens += self._earned_per_request

    def withdraw_request(self, service, now):
        """Withdraw a recorded request, as another daemon records it too."""
        bucket = self._updated(service, now)
        if bucket.requests:
            bucket.requests.pop()
        bucket.tokens -= self._earned_per_request

    def try_take(self, service, now, is_hedge=False):
        """Take one retry from the budget; return whether one was available.

        Call :meth:`settle` once the retry has arrived, or will never arrive.

        :param service: name of the service.
        :param now: time in seconds.
        :param is_hedge: whether it is sent beside an attempt at a silent target.
        """
        bucket = self._updated(service, now)
        if not bucket.is_answered:
            return False
        if is_hedge and not self._may_hold_another(service, bucket, now):
            return False
        is_taken = self._try_take(bucket)
        bucket.unsettled += is_taken
        return is_taken

    def _try_take(self, bucket):
        if bucket.tokens >= 1.0:
            bucket.tokens -= 1.0
            return True
        if self._capacity(bucket) >= 1.0:
            return False
        # A whole retry can never be saved, so a fraction of one is used up for the
        # same fraction of a chance.
        is_granted = self._rng.random() < bucket.tokens
        bucket.tokens = min(bucket.tokens, 0.0)
        return is_granted

    def record_send(self, service, now):
        """Record that a request was sent to a target."""
        bucket = self._bucket(service)
        if bucket.first_sent_at is None:
            bucket.first_sent_at = now

    def settle(self, service):
        """Record that a retry which was taken need no longer be waited for."""
        bucket = self._bucket(service)
        # The bucket may have been dropped since.
        bucket.unsettled = max(0, bucket.unsettled - 1)

    def expect_late(self, service, target, sent_at):
        """Record that a request which was given up may still arrive, as a repeat.

        :param target: id of the target's incarnation.
        :param sent_at: time at which it was sent.
        """
        self._late_arrivals.add(service, target, sent_at)

    def record_answer(self, service, target, sent_at, now):
        """Record that a target has read a request, and so those sent before it.

        :param service: name of the service.
        :param target: id of the target's incarnation.
        :param sent_at: time at which the request was sent.
        :param now: time of the answer.
        """
        bucket = self._bucket(service)
        if not bucket.is_answered:
            self._record_first_answer(service, now)
        bucket.answers.append(now)
        self._late_arrivals.remove_before(target, sent_at)

    def _record_first_answer(self, service, now):
        bucket = self._updated(service, now)
        bucket.is_answered = True
        sent_at = now if bucket.first_sent_at is None else bucket.first_sent_at
        if now - sent_at > MAX_FIRST_ANSWER_S:
            bucket.tokens = min(bucket.tokens, 0.0)

    def saved_retries(self, service, now):
        """Return the number of retries that are saved for a service."""
        return self._updated(service, now).tokens

    def unread_retries(self, service, now):
        """Return the number of retries that were taken and may still arrive."""
        bucket = self._bucket(service)
        return bucket.unsettled + self._late_arrivals.count(service, now)

    @property
    def _earned_per_request(self):
        return (1.0 - SAVED_FRACTION) * self.settings.ratio

    @property
    def _slack_share(self):
        """This daemon's share of the slack of a window."""
        if self._daemon_count is None:
            return 0.0
        return self.settings.slack * USABLE_SLACK_FRACTION / self._daemon_count

    def _may_hold_another(self, service, bucket, now):
        """Whether another retry may be sent beside a silent target, which may hold it.

        Those sent before the last window are not counted. If all targets are silent for
        so long, the capacity of the bucket comes from the slack alone and limits them.
        One is always allowed, as daemons of large fleets have less than one each.
        """
        window_begins_at = now - self.settings.window_s
        late = self._late_arrivals.count_since(service, window_begins_at)
        most = max(1.0, SAVED_FRACTION * self._slack_share)
        return bucket.unsettled + late + 1 <= most

    def _capacity(self, bucket):
        """Return the largest number of retries that may be saved."""
        answered_count = min(len(bucket.requests), len(bucket.answers))
        return self._saved_share(answered_count)

    def _saved_share(self, request_count):
        """Return this daemon's part of the saved part of a window's allowance."""
        of_requests = self.settings.ratio * request_count
        return SAVED_FRACTION * (of_requests + self._slack_share)

    def _updated(self, service, now):
        """Return the bucket of a service as of now."""
        bucket = self._bucket(service)
        bucket.forget_before(now - self.settings.window_s)
        if self._daemon_count is not None:
            self._add_slack(bucket, now)
        unread_count = self.unread_retries(service, now)
        free_capacity = max(0.0, self._capacity(bucket) - unread_count)
        excess = max(0.0, unread_count - self._saved_share(len(bucket.requests)))
        bucket.tokens = min(bucket.tokens, free_capacity - excess)
        return bucket

    def _add_slack(self, bucket, now):
        """Add the part of the slack that was earned since the last time."""
        if bucket.slack_added_at is None:
            bucket.slack_added_at = self._count_known_at
        elapsed_s = now - bucket.slack_added_at
        share_per_s = self._slack_share / self.settings.window_s
        bucket.tokens += (1.0 - SAVED_FRACTION) * share_per_s * elapsed_s
        bucket.slack_added_at = now

    def _bucket(self, service):
        # The service used last is the last one.
        bucket = self._buckets.pop(service, None) or _Bucket()
        self._buckets[service] = bucket
        if len(self._buckets) > MAX_SERVICES:
            del self._buckets[next(iter(self._buckets))]
        return bucket
