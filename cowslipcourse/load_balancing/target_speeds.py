"""Speed of each target as this daemon observes it, relative to the target's peers.

The time that a request takes is compared with the time expected of it, and this ratio
with the median ratio of the target's peers: what the expectation gets wrong for all of
them alike makes none of them look slow.
"""

import math
from collections import deque
from typing import NamedTuple

__all__ = [
    "ObservedRequest",
    "ServingInstance",
    "TargetSpeeds",
    "UnobservedRequest",
    "serving_instance",
]

HALF_LIFE_S = 1.0
"""Age at which an observation has half its weight. Without new ones a target counts as
normal again within some seconds, so that a few requests find out."""
MAX_WEIGHT = 2.0
"""Weight of all observations together, in observations: a recovery shows in a few."""
PRIOR_WEIGHT = 0.25
"""Weight, in observations, of the assumption that a target is as fast as its peers."""
MIN_RATIO, MAX_RATIO = 1 / 8, 8.0
"""Bounds of a single observation."""
NORMAL_FACTOR = 1.5
"""Factor up to which a target counts as normal: times of requests vary that much."""
SLOW_FACTOR = 2.0
"""Factor from which other daemons are told that a target is slow."""
SLOW_INTERVAL_S = 0.05
"""Interval at which the slow targets are found, whatever the number of requests."""
MIN_TOLD_WEIGHT = 0.25
"""Least weight of the observations that other daemons are told of."""
FRESH_S = 0.6
"""Age up to which an observation contradicts that a target is slow."""
MIN_KEPT_WEIGHT = 0.01
"""Weight below which observations are forgotten."""
MAX_TOLD = 16
"""Targets that other daemons are told of at once, the slowest first."""
EVENT_WINDOW_S = 0.25
"""Time over which the events of a stream are one observation: single pauses vary with
the prompts that are read meanwhile."""
FIRST_EVENT_WEIGHT = 0.25
"""Weight of the time to the first event of a stream, compared to the time between
events: it includes a wait for a slot, of which old counts do not know."""
MIN_OVERDUE_S = 0.3
"""Delay from which a request that has not ended counts as an observation."""
PEER_RATIOS = 64
"""Newest ratios of which the median is taken."""
MIN_PEER_RATIOS = 8
"""Ratios before which the declared times are taken for right."""
MEDIAN_INTERVAL = 4
"""Ratios between two computations of their median."""


class ServingInstance(NamedTuple):
    """A target as long as its speed is that of the same processes.

    :param id: id of the target.
    :param incarnation: see :class:`~cowslipcourse.ports.TargetEntry`.
    :param epoch: epoch of its group, whose members may differ in another one; 0
        without a group.
    """

    id: str
    incarnation: int
    epoch: int


def serving_instance(entry):
    """Return the :class:`ServingInstance` of a target's entry."""
    epoch = 0 if entry.membership is None else entry.membership.epoch
    return ServingInstance(entry.id, entry.incarnation, epoch)


class _Estimate(NamedTuple):
    """Weighted mean of logarithms of ratios.

    :param weight: sum of the weights.
    :param log_sum: weighted sum of the logarithms.
    :param at: loop time of the last observation.
    """

    weight: float = 0.0
    log_sum: float = 0.0
    at: float = 0.0

    def aged(self, now):
        """Return the estimate with the weight that it has left."""
        remaining = 0.5 ** ((now - self.at) / HALF_LIFE_S)
        return _Estimate(self.weight * remaining, self.log_sum * remaining, now)

    def plus(self, ratio, weight=1.0):
        """Return the estimate with another observation."""
        ratio = min(max(ratio, MIN_RATIO), MAX_RATIO)
        return self._replace(
            weight=self.weight + weight,
            log_sum=self.log_sum + weight * math.log(ratio),
        )

    def capped(self):
        """Return the estimate with at most :data:`MAX_WEIGHT`."""
        scale = min(1.0, MAX_WEIGHT / self.weight)
        return self._replace(weight=self.weight * scale, log_sum=self.log_sum * scale)

    @property
    def factor(self):
        """Factor on the times of the target; 1 for a normal one."""
        return math.exp(self.log_sum / (self.weight + PRIOR_WEIGHT))

    @property
    def observed_factor(self):
        """Factor by the observations alone."""
        return math.exp(self.log_sum / self.weight)


class _PeerRatios:
    """Newest ratios of all targets that are compared with each other.

    :param is_declared: whether the expectation rests on declared times; otherwise
        nothing is known before there are enough ratios.
    """

    def __init__(self, is_declared):
        self._ratios = deque(maxlen=PEER_RATIOS)
        self._added = 0
        self.median = 1.0 if is_declared else None

    def add(self, ratio):
        """Add a ratio."""
        self._ratios.append(ratio)
        self._added += 1
        is_due = not self._added % MEDIAN_INTERVAL
        if is_due and len(self._ratios) >= MIN_PEER_RATIOS:
            self.median = _median(self._ratios)


class ObservedRequest:
    """A request of this daemon in flight at a target.

    :param speeds: :class:`TargetSpeeds`
    :param instance: :class:`ServingInstance`
    :param peers: key of the targets that its target is compared with.
    :param expected: :class:`~cowslipcourse.load_balancing.expected_time.ExpectedTimes`
    :param tokens: tokens of memory that it may need.
    :param factor: factor on the times of its target when it was sent.
    :param sent_at: loop time.
    """

    def __init__(self, speeds, instance, peers, expected, tokens, factor, sent_at):
        self._speeds = speeds
        self._window_from = sent_at
        self._window_events = 0
        self._is_compared = False
        self.instance = instance
        self.peers = peers
        self.expected = expected
        self.tokens = tokens
        self.factor = factor
        self.sent_at = sent_at
        self.first_event_s = None

    @property
    def _kind(self):
        """What the request is waiting for."""
        return "first" if self.first_event_s is None else "event"

    @property
    def _expected_s(self):
        """Expected seconds until its next event."""
        if self.first_event_s is None:
            return self.expected.first_event_s
        return self.expected.event_s * (self._window_events + 1)

    def record_events(self, count, now):
        """Record that events have arrived.

        :param count: number of events.
        :param now: loop time.
        """
        if self.first_event_s is None:
            self.first_event_s = now - self.sent_at
            self._speeds.observe(
                self, "first", self.first_event_s / self.expected.first_event_s, now
            )
            self._window_from = now
            return
        self._window_events += count
        if now - self._window_from >= EVENT_WINDOW_S:
            self._close_window(now)

    def _close_window(self, now):
        expected_s = self.expected.event_s * self._window_events
        ratio = (now - self._window_from) / expected_s
        # Slow streams have more windows, so each stream counts once among its peers.
        self._speeds.observe(self, "event", ratio, now, not self._is_compared)
        self._is_compared = True
        self._window_from, self._window_events = now, 0

    def record_answer(self, now):
        """Record that a whole answer has arrived, which had no events.

        :param now: loop time.
        """
        self.record_events(1, now)

    def overdue_ratio(self, now):
        """Return actual to expected time if it is late already, otherwise ``None``.

        :param now: loop time.
        """
        median = self._speeds.peer_median(self, self._kind)
        if median is None:
            return None
        expected_s = self._expected_s * median
        elapsed_s = now - self._window_from
        if elapsed_s < expected_s + MIN_OVERDUE_S:
            return None
        return elapsed_s / expected_s

    def log_fields(self):
        """Return what its log line tells of the expectation."""
        first_s = self.first_event_s
        return {
            "expected_s": round(self.expected.first_event_s * self.factor, 3),
            "took_s": None if first_s is None else round(first_s, 3),
            "speed": round(self.factor, 2),
        }

    def end(self, now):
        """Record that it is over, whether or not it was answered."""
        self._speeds.remove(self)
        ratio = self.overdue_ratio(now)
        if ratio is not None:
            self._speeds.observe_relative(self, ratio, now)


class UnobservedRequest:
    """Stands for a request of which nothing is recorded."""

    def record_events(self, count, now):
        """Ignore events."""

    def record_answer(self, now):
        """Ignore an answer."""

    def end(self, now):
        """Ignore the end."""

    def log_fields(self):
        """Return no fields."""
        return {}


class TargetSpeeds:
    """Observed speeds of targets, from this daemon's own requests.

    :param told: :class:`~cowslipcourse.load_balancing.told_speeds.ToldSpeeds`
    """

    def __init__(self, told):
        self._told = told
        self._estimates = {}
        self._newest_instances = {}
        self._in_flight = {}
        self._peer_ratios = {}
        self._slow_ids = frozenset()
        self._slow_ids_at = float("-inf")

    def start(self, entry, peers, expected, tokens, now):
        """Return the :class:`ObservedRequest` of a request that is sent now.

        :param entry: :class:`~cowslipcourse.ports.TargetEntry`
        :param peers: key of the targets that this one is compared with.
        :param expected:
            :class:`~cowslipcourse.load_balancing.expected_time.ExpectedTimes`
        :param tokens: tokens of memory that it may need.
        :param now: loop time.
        """
        instance = serving_instance(entry)
        factor = self.factor(entry, now)
        request = ObservedRequest(self, instance, peers, expected, tokens, factor, now)
        self._newest_instances[entry.id] = instance
        self._in_flight.setdefault(instance, set()).add(request)
        return request

    def remove(self, request):
        """Remove an :class:`ObservedRequest` that is over."""
        requests = self._in_flight.get(request.instance, set())
        requests.discard(request)
        if not requests:
            self._in_flight.pop(request.instance, None)

    def tokens_in_flight(self, entry):
        """Return the tokens of memory of this daemon's requests at a target."""
        requests = self._in_flight.get(serving_instance(entry), ())
        return sum(request.tokens for request in requests)

    def peer_median(self, request, kind):
        """Return the median ratio of a request's peers, ``None`` if it is unknown.

        :param request: :class:`ObservedRequest`
        :param kind: what is timed: ``first`` or ``event``.
        """
        return self._ratios_of(request, kind).median

    def _ratios_of(self, request, kind):
        key = request.peers, kind
        if key not in self._peer_ratios:
            self._peer_ratios[key] = _PeerRatios(request.expected.is_declared)
        return self._peer_ratios[key]

    def observe(self, request, kind, ratio, now, is_compared=True):
        """Record the ratio of actual to expected time.

        :param request: :class:`ObservedRequest`
        :param kind: what is timed: ``first`` or ``event``.
        :param ratio: actual to expected time.
        :param now: loop time.
        :param is_compared: whether it counts among the ratios of its peers.
        """
        if not ratio > 0:
            return
        peers = self._ratios_of(request, kind)
        if is_compared:
            peers.add(ratio)
        if peers.median is not None:
            is_first_of_stream = kind == "first" and request.expected.is_declared
            weight = FIRST_EVENT_WEIGHT if is_first_of_stream else 1.0
            self.observe_relative(request, ratio / peers.median, now, weight)

    def observe_relative(self, request, ratio, now, weight=1.0):
        """Record a ratio that is relative to the peers already.

        :param request: :class:`ObservedRequest`
        :param ratio: its time compared to that of its peers.
        :param now: loop time.
        :param weight: weight of the observation.
        """
        known = self._estimates.get(request.instance, _Estimate())
        self._estimates[request.instance] = known.aged(now).plus(ratio, weight).capped()

    def is_slow(self, entry, now):
        """Whether a target is slow, by own observations or by what others tell.

        :param entry: :class:`~cowslipcourse.ports.TargetEntry`
        :param now: loop time.
        """
        if entry.id not in self.slow_ids(now):
            return False
        newest = self._newest_instances.get(entry.id)
        return newest is None or newest == serving_instance(entry)

    def slow_ids(self, now):
        """Return the ids of the slow targets, see :meth:`is_slow`."""
        if now - self._slow_ids_at >= SLOW_INTERVAL_S:
            self._slow_ids, self._slow_ids_at = self._find_slow(now), now
        return self._slow_ids

    def _find_slow(self, now):
        estimates = {
            target: self._own_estimate(instance, now)
            for target, instance in self._newest_instances.items()
        }
        for target, told in self._told.all(now).items():
            estimate = estimates.get(target, _Estimate())
            estimates[target] = estimate.plus(told.factor, told.weight)
        return {t for t, each in estimates.items() if each.factor >= SLOW_FACTOR}

    def _own_estimate(self, instance, now):
        """Return the estimate with the requests that are overdue now."""
        estimate = self._estimates.get(instance, _Estimate()).aged(now)
        for request in self._in_flight.get(instance, ()):
            ratio = request.overdue_ratio(now)
            if ratio is not None and ratio > estimate.factor:
                estimate = estimate.plus(ratio)
        return estimate

    def factor(self, entry, now):
        """Return the factor on the times of a target; 1 for a normal or unknown one.

        :param entry: :class:`~cowslipcourse.ports.TargetEntry`
        :param now: loop time.
        """
        estimate = self._own_estimate(serving_instance(entry), now)
        told = self._told.get(entry.id, now)
        if told is not None:
            estimate = estimate.plus(told.factor, told.weight)
        factor = estimate.factor
        return 1.0 if 1 / NORMAL_FACTOR < factor < NORMAL_FACTOR else factor

    def slow_factors(self, now):
        """Return the factors of the targets that are slow by own observations, by id.

        :param now: loop time.
        """
        factors = {}
        for instance in self._newest_instances.values():
            estimate = self._own_estimate(instance, now)
            if estimate.factor >= SLOW_FACTOR and estimate.weight >= MIN_TOLD_WEIGHT:
                factors[instance.id] = estimate.observed_factor
        return factors

    def to_tell(self, now):
        """Return what other daemons should know: factors by target id.

        They are the slow targets, and those of which another daemon says so although
        this one has just found them normal.

        :param now: loop time.
        """
        slow = self.slow_factors(now)
        slowest = sorted(slow, key=slow.get, reverse=True)[:MAX_TOLD]
        factors = {target: slow[target] for target in slowest}
        for instance in self._newest_instances.values():
            estimate = self._estimates.get(instance)
            if len(factors) >= 2 * MAX_TOLD:
                break
            if instance.id in slow or self._told.get(instance.id, now) is None:
                continue
            if estimate is not None and now - estimate.at < FRESH_S:
                factors[instance.id] = 1.0
        return factors

    def retain(self, entries, now):
        """Forget all targets but the given ones, and observations that no longer count.

        :param entries: iterable of :class:`~cowslipcourse.ports.TargetEntry`
        :param now: loop time.
        """
        # Heads that have just opened are listed later with the epoch of their group.
        listed = {(entry.id, entry.incarnation) for entry in entries}
        self._newest_instances = {
            target: instance
            for target, instance in self._newest_instances.items()
            if (target, instance.incarnation) in listed
        }
        self._estimates = {
            instance: estimate
            for instance, estimate in self._estimates.items()
            if (instance.id, instance.incarnation) in listed
            and estimate.aged(now).weight >= MIN_KEPT_WEIGHT
        }


def _median(values):
    # The import of the standard library's statistics would delay a start.
    ordered = sorted(values)
    middle = len(ordered) // 2
    if len(ordered) % 2:
        return ordered[middle]
    return (ordered[middle - 1] + ordered[middle]) / 2
