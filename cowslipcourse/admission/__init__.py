"""Admission control: fair shares, priorities, deadlines and retry budgets."""

from cowslipcourse.admission.budget import (
    MIN_DAEMON_COUNT,
    RetryBudget,
    SharedRetryBudget,
)
from cowslipcourse.lazy_exports import lazy_exports

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

# Only gateways use these.
__getattr__ = lazy_exports(
    __name__,
    {
        "AdmissionControl": "control",
        "AdmissionLimits": "control",
        "CapacityView": "control",
        "Priority": "control",
        "max_min_shares": "shares",
    },
)
