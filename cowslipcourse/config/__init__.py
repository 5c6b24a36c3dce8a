"""The operators' configuration: declared objects, validation, plans and edits."""

from cowslipcourse.config.documents import parse_documents
from cowslipcourse.config.edits import Change, Edit, apply_changes, conflicting_changes
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
from cowslipcourse.config.plans import ExistingGroup, Plan, make_plan
from cowslipcourse.config.resolve import ResolvedConfiguration, resolve

__all__ = [
    "Change",
    "Configuration",
    "Drain",
    "Edit",
    "ExistingGroup",
    "Group",
    "Label",
    "Model",
    "ObjectRef",
    "Placement",
    "Plan",
    "ResolvedConfiguration",
    "Service",
    "Site",
    "Workspace",
    "apply_changes",
    "conflicting_changes",
    "make_plan",
    "parse_documents",
    "resolve",
]
