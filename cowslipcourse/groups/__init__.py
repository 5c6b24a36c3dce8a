"""Groups of engines: each domain's plan, and the orders that carry it out."""

from cowslipcourse.groups.balance import (
    Change,
    choose_changes,
    group_counts,
    short_models,
)
from cowslipcourse.groups.knowledge import DomainKnowledge, EngineKnowledge
from cowslipcourse.groups.loads import LoadLimit
from cowslipcourse.groups.orders import is_present, next_steps
from cowslipcourse.groups.plan import DomainPlan, PlannedGroup, decode_plan, encode_plan
from cowslipcourse.groups.practice import practice_step
from cowslipcourse.groups.revision import revise
from cowslipcourse.groups.shape import MIXED, DomainShape, choose_shape
from cowslipcourse.groups.situation import (
    broken_groups,
    engine_views,
    models_waiting,
    spares_of,
    wishes,
)
from cowslipcourse.groups.staging import choose_staging
from cowslipcourse.groups.standby import choose_standby
from cowslipcourse.groups.steps import Step, StepKind
from cowslipcourse.groups.views import EngineView, Wish

__all__ = [
    "MIXED",
    "Change",
    "DomainKnowledge",
    "DomainPlan",
    "DomainShape",
    "EngineKnowledge",
    "EngineView",
    "LoadLimit",
    "PlannedGroup",
    "Step",
    "StepKind",
    "Wish",
    "broken_groups",
    "choose_changes",
    "choose_shape",
    "choose_staging",
    "choose_standby",
    "decode_plan",
    "encode_plan",
    "engine_views",
    "group_counts",
    "is_present",
    "models_waiting",
    "next_steps",
    "practice_step",
    "revise",
    "short_models",
    "spares_of",
    "wishes",
]
