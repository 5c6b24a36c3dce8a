"""The operators' configuration: objects, checks, plans and edits."""

from cowslipcourse.config.documents import parse_documents
from cowslipcourse.config.edits import Change, Edit, apply_changes, overlapping
from cowslipcourse.config.objects import (
    Configuration,
    Drain,
    Group,
    Label,
    Model,
    ObjectRef,
    Placement,
    Service,
    Site,
    Workspace,
)
from cowslipcourse.config.plans import GroupUse, Plan, make_plan
from cowslipcourse.config.resolve import Resolved, resolve

__all__ = [
    "Change",
    "Configuration",
    "Drain",
    "Edit",
    "Group",
    "GroupUse",
    "Label",
    "Model",
    "ObjectRef",
    "Placement",
    "Plan",
    "Resolved",
    "Service",
    "Site",
    "Workspace",
    "apply_changes",
    "make_plan",
    "overlapping",
    "parse_documents",
    "resolve",
]
