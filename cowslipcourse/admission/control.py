"""Admission of model requests at one gateway."""

from enum import IntEnum
from typing import NamedTuple

from cowslipcourse.admission.shares import max_min_shares
from cowslipcourse.exceptions import (
    DeadlinePassed,
    NoTargetAvailable,
    WorkspaceOverShare,
)

__all__ = ["AdmissionControl", "AdmissionLimits", "CapacityView", "Priority"]


class Priority(IntEnum):
    """Priority of a request; larger is more urgent."""

    LOW = 0
    NORMAL = 1
    HIGH = 2


class AdmissionLimits(NamedTuple):
    """Load limits from which requests are refused.

    Each is a multiple of the requests that the targets can run at once.

    :param over_share: for workspaces beyond their share.
    :param within_share: for workspaces within their share, by priority.
    :param jitter: fraction of random spread of retry-after times.
    """

    over_share: float = 0.95
    within_share: tuple[float, float, float] = (0.95, 1.0, 1.1)
    jitter: float = 0.2


class CapacityView(NamedTuple):
    """Capacity and load of the targets that a request may use.

    :param slots: requests that the targets can run at once.
    :param in_flight: requests in flight by workspace, of all gateways.
    :param weights: share weight by workspace.
    :param mean_answer_s: recent mean seconds of a complete answer.
    :param wait_s: expected seconds to the first token at the best target.
    :param estimated_unreported: requests that the other gateways have probably admitted
        since their last reports; each is assumed to admit as many as this one.
    """

    slots: int
    in_flight: dict[str, int]
    weights: dict[str, float]
    mean_answer_s: float
    wait_s: float
    estimated_unreported: int = 0


class AdmissionControl:
    """Decides immediately whether a request is admitted.

    Unused capacity is open to every workspace. Once the targets are full, only requests
    of workspaces within their weighted share are admitted, up to a limit that rises
    with priority.

    :param limits: :class:`AdmissionLimits`
    :param rng: :class:`random.Random` for the spread of retry-after times.
    """

    def __init__(self, limits, rng):
        self._limits = limits
        self._rng = rng

    def admit(self, workspace, priority, remaining_s, view):
        """Return if the request may start; raise otherwise.

        :param workspace: workspace name.
        :param priority: :class:`Priority`
        :param remaining_s: seconds to the deadline, or ``None``.
        :param view: :class:`CapacityView`
        :raises DeadlinePassed: the first token would arrive after the deadline.
        :raises WorkspaceOverShare: full, and the workspace is beyond its share.
        :raises NoTargetAvailable: full.
        """
        if view.slots <= 0:
            raise NoTargetAvailable("no group serves this model now", 2.0)
        if remaining_s is not None and view.wait_s > remaining_s:
            detail = f"the first token would take about {view.wait_s:.1f} s"
            raise DeadlinePassed(detail, self._retry_after_s(view, 0.0))
        total_in_flight = sum(view.in_flight.values()) + view.estimated_unreported
        own_in_flight = view.in_flight.get(workspace, 0)
        is_within_share = own_in_flight < self._share(workspace, view)
        if not is_within_share:
            if total_in_flight >= self._limits.over_share * view.slots:
                excess = total_in_flight - self._limits.over_share * view.slots
                raise WorkspaceOverShare(
                    "the workspace uses its share and the targets are full",
                    self._retry_after_s(view, excess),
                )
            return
        limit = self._limits.within_share[priority] * view.slots
        if total_in_flight >= limit:
            raise NoTargetAvailable(
                "the targets are full",
                self._retry_after_s(view, total_in_flight - limit),
            )

    def _share(self, workspace, view):
        demands = dict(view.in_flight)
        # The workspace's further demand is unknown, so it is taken as unbounded.
        demands[workspace] = float("inf")
        weights = {name: view.weights.get(name, 1.0) for name in demands}
        return max_min_shares(view.slots, demands, weights)[workspace]

    def _retry_after_s(self, view, excess):
        """Return the seconds until the excess has drained, with random spread."""
        per_s = view.slots / max(view.mean_answer_s, 0.05)
        drain_s = (excess + 1 + self._rng.random() * view.slots * 0.5) / per_s
        spread = 1 + self._limits.jitter * self._rng.random()
        return max(0.2, drain_s * spread)
