"""Groups of engines: each domain's plan, and the orders that carry it out."""

from cowslipcourse.groups.balance import (
    Reassignment,
    choose_reassignments,
    group_counts,
    underprovisioned_models,
)
from cowslipcourse.groups.knowledge import ObservedDomain, ObservedEngine
from cowslipcourse.groups.loads import LoadRateLimiter
from cowslipcourse.groups.orders import is_present, next_steps
from cowslipcourse.groups.plan import DomainPlan, PlannedGroup, decode_plan, encode_plan
from cowslipcourse.groups.practice import warmup_step
from cowslipcourse.groups.revision import revise_plan
from cowslipcourse.groups.shape import MIXED_ASSIGNMENT, DomainAssignment, assign_domain
from cowslipcourse.groups.situation import (
    broken_groups,
    engine_views,
    model_demands,
    models_awaiting_members,
    spare_engines,
)
from cowslipcourse.groups.staging import choose_staging
from cowslipcourse.groups.standby import choose_standby
from cowslipcourse.groups.steps import Step, StepKind
from cowslipcourse.groups.views import EngineView, ModelDemand

__all__ = [
    "MIXED_ASSIGNMENT",
    "DomainAssignment",
    "DomainPlan",
    "EngineView",
    "LoadRateLimiter",
    "ModelDemand",
    "ObservedDomain",
    "ObservedEngine",
    "PlannedGroup",
    "Reassignment",
    "Step",
    "StepKind",
    "assign_domain",
    "broken_groups",
    "choose_reassignments",
    "choose_staging",
    "choose_standby",
    "decode_plan",
    "encode_plan",
    "engine_views",
    "group_counts",
    "is_present",
    "model_demands",
    "models_awaiting_members",
    "next_steps",
    "revise_plan",
    "spare_engines",
    "underprovisioned_models",
    "warmup_step",
]
