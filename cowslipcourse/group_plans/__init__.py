"""Groups of engines: each domain's plan, and the orders that carry it out."""

from cowslipcourse.group_plans.agreed_shares import (
    AgreedShares,
    decode_shares,
    encode_shares,
)
from cowslipcourse.group_plans.balance import (
    AGREED_THRESHOLDS,
    DECLARED_THRESHOLDS,
    Reassignment,
    choose_reassignments,
    group_counts,
    underprovisioned_models,
)
from cowslipcourse.group_plans.domain_assignment import (
    MIXED_ASSIGNMENT,
    DomainAssignment,
    assign_domain,
)
from cowslipcourse.group_plans.load_rate_limit import LoadRateLimiter
from cowslipcourse.group_plans.move_pacing import MovePacer
from cowslipcourse.group_plans.observed_domain import ObservedDomain, ObservedEngine
from cowslipcourse.group_plans.observed_shares import (
    ModelLoad,
    ObservedWork,
    choose_shares,
    utilisations,
)
from cowslipcourse.group_plans.orders import is_present, next_steps
from cowslipcourse.group_plans.plan import (
    DomainPlan,
    PlannedGroup,
    decode_plan,
    encode_plan,
)
from cowslipcourse.group_plans.plan_inputs import (
    broken_groups,
    engine_views,
    model_demands,
    models_awaiting_members,
    spare_engines,
)
from cowslipcourse.group_plans.revision import revise_plan
from cowslipcourse.group_plans.staging import choose_staging
from cowslipcourse.group_plans.standby import choose_standby
from cowslipcourse.group_plans.steps import Step, StepKind
from cowslipcourse.group_plans.views import EngineView, ModelDemand
from cowslipcourse.group_plans.warm_up import warmup_step

__all__ = [
    "AGREED_THRESHOLDS",
    "DECLARED_THRESHOLDS",
    "MIXED_ASSIGNMENT",
    "AgreedShares",
    "DomainAssignment",
    "DomainPlan",
    "EngineView",
    "LoadRateLimiter",
    "ModelDemand",
    "ModelLoad",
    "MovePacer",
    "ObservedDomain",
    "ObservedEngine",
    "ObservedWork",
    "PlannedGroup",
    "Reassignment",
    "Step",
    "StepKind",
    "assign_domain",
    "broken_groups",
    "choose_reassignments",
    "choose_shares",
    "choose_staging",
    "choose_standby",
    "decode_plan",
    "decode_shares",
    "encode_plan",
    "encode_shares",
    "engine_views",
    "group_counts",
    "is_present",
    "model_demands",
    "models_awaiting_members",
    "next_steps",
    "revise_plan",
    "spare_engines",
    "underprovisioned_models",
    "utilisations",
    "warmup_step",
]
