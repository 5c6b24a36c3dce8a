"""Placement of groups on VMs and repair policies for broken groups."""

from cowslipcourse.placement.absence import AbsenceKind, AbsenceModel
from cowslipcourse.placement.allocation import Demand, allocate
from cowslipcourse.placement.loading import LoadNeed, load_order
from cowslipcourse.placement.policies import (
    CostPolicy,
    RepairPolicy,
    ReplaceAlways,
    WaitAlways,
)
from cowslipcourse.placement.views import (
    BrokenGroup,
    RepairView,
    Replace,
    Wait,
    Weights,
)

__all__ = [
    "AbsenceKind",
    "AbsenceModel",
    "BrokenGroup",
    "CostPolicy",
    "Demand",
    "LoadNeed",
    "RepairPolicy",
    "RepairView",
    "Replace",
    "ReplaceAlways",
    "Wait",
    "WaitAlways",
    "Weights",
    "allocate",
    "load_order",
]
