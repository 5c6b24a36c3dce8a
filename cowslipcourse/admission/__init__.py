"""Admission control: fair shares, priorities, deadlines and retry budgets."""

from cowslipcourse.admission.budget import (
    MIN_DAEMON_COUNT,
    RetryBudget,
    SharedRetryBudget,
)
from cowslipcourse.admission.control import (
    AdmissionControl,
    AdmissionLimits,
    CapacityView,
    Priority,
)
from cowslipcourse.admission.shares import max_min_shares

__all__ = [
    "MIN_DAEMON_COUNT",
    "AdmissionControl",
    "AdmissionLimits",
    "CapacityView",
    "Priority",
    "RetryBudget",
    "SharedRetryBudget",
    "max_min_shares",
]
