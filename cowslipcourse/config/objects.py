"""Objects that operators declare.

Each object is validated by itself here; constraints between objects are validated by
:mod:`cowslipcourse.config.resolve`.
"""

from typing import Annotated, Literal, NamedTuple

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

from cowslipcourse.exceptions import SelectorError
from cowslipcourse.fleet import parse_selector

__all__ = [
    "KINDS",
    "Configuration",
    "Drain",
    "Group",
    "Label",
    "Model",
    "ObjectRef",
    "Placement",
    "Service",
    "Site",
    "Workspace",
]


class ObjectRef(NamedTuple):
    """Reference to a declared object.

    :param kind: kind of the object, for example ``group``.
    :param name: name, unique within the kind.
    """

    kind: str
    name: str

    def __str__(self):
        return f"{self.kind}/{self.name}"


def _validate_selector(text):
    try:
        parse_selector(text)
    except SelectorError as error:
        raise ValueError(error.detail) from error
    return text


Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9.\-]{0,62}$")]
SelectorText = Annotated[str, AfterValidator(_validate_selector)]
LabelName = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.\-/]*$")]


class DeclaredObject(BaseModel):
    """Base of all declared objects; unknown keys are refused."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class Label(DeclaredObject):
    """Sets labels on all present and future objects that a selector matches."""

    on: Literal["vm", "workspace"] = "vm"
    selector: SelectorText
    set: dict[LabelName, LabelName] = Field(min_length=1)


class Workspace(DeclaredObject):
    """A workspace with its key, share and labels."""

    key_sha256: str = Field(pattern=r"^[0-9a-f]{64}$")
    share: float = Field(default=1.0, gt=0, le=1000)
    labels: dict[LabelName, LabelName] = {}


class Model(DeclaredObject):
    """A model that groups load."""

    version: Name
    weights_bytes: int = Field(gt=0)
    adapters: list[Name] = []


class Group(DeclaredObject):
    """Declares ``count`` groups of ``vms_per_group`` VMs of one fabric domain."""

    model: Name
    vms: SelectorText
    vms_per_group: int = Field(ge=1, le=256)
    count: int = Field(ge=0, le=10_000)
    labels: dict[LabelName, LabelName] = {}


class Placement(DeclaredObject):
    """Allows the selected workspaces to use a model on the selected groups."""

    model: Name
    workspaces: SelectorText
    groups: SelectorText


class Service(DeclaredObject):
    """A plain service on the selected VMs."""

    targets: SelectorText
    workspaces: SelectorText
    repeatable: bool = False


class Drain(DeclaredObject):
    """Takes the selected VMs out of service gracefully."""

    selector: SelectorText
    reason: str = Field(default="", max_length=200)


class Site(DeclaredObject):
    """Policy of the site.

    :param downtime_weight: cost of one group that does not serve, per second.
    :param stranded_weight: cost of one healthy accelerator that is unusable, per
        second.
    :param unfenced_targets: selector of targets that do not check fencing tokens.
    """

    downtime_weight: float = Field(default=1.0, ge=0, le=1e6)
    stranded_weight: float = Field(default=1.0, ge=0, le=1e6)
    unfenced_targets: SelectorText | None = None


KINDS = {
    "label": Label,
    "workspace": Workspace,
    "model": Model,
    "group": Group,
    "placement": Placement,
    "service": Service,
    "drain": Drain,
    "site": Site,
}


class Configuration(BaseModel):
    """All declared objects, by kind and name."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    label: dict[Name, Label] = {}
    workspace: dict[Name, Workspace] = {}
    model: dict[Name, Model] = {}
    group: dict[Name, Group] = {}
    placement: dict[Name, Placement] = {}
    service: dict[Name, Service] = {}
    drain: dict[Name, Drain] = {}
    site: dict[Name, Site] = {}

    @property
    def site_policy(self):
        """The declared :class:`Site`, or the defaults if none is declared."""
        return next(iter(self.site.values()), Site())
