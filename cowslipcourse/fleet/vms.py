"""VMs, on which targets run."""

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

__all__ = ["VM", "TargetKind", "VmState"]


class VmState(StrEnum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class TargetKind(StrEnum):
    """Kind of target on a VM."""

    ENGINE = "engine"
    SERVICE = "service"


class VM(NamedTuple):
    """A VM as the platform lists it, with the operators' labels.

    :param name: unique name.
    :param domain: fabric domain.
    :param data_centre: data centre.
    :param address: base URL of the target that runs on the VM.
    :param incarnation: id that changes whenever the VM is restarted or replaced.
    :param accelerators: number of accelerators.
    :param kind: kind of the target on the VM.
    :param state: :class:`VmState`
    :param labels: effective labels, including the platform's.
    """

    name: str
    domain: str
    data_centre: str
    address: str
    incarnation: str
    accelerators: int
    kind: TargetKind
    state: VmState
    labels: Mapping[str, str]

    def with_labels(self, extra):
        """Return a copy of the VM with additional labels.

        :param extra: mapping of label to value; overrides existing labels.
        """
        return self._replace(labels={**self.labels, **extra})
