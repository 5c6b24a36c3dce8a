"""The VMs that targets run on."""

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

__all__ = ["VM", "TargetKind", "VmState"]


class VmState(StrEnum):
    """What the platform's list says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


class TargetKind(StrEnum):
    """What runs on a VM."""

    ENGINE = "engine"
    SERVICE = "service"


class VM(NamedTuple):
    """One VM as the platform lists it, with the operators' labels.

    :param name: unique name.
    :param domain: fabric domain.
    :param data_centre: data centre.
    :param address: base URL of the target that runs on the VM.
    :param incarnation: changes whenever the VM is restarted or replaced.
    :param accelerators: number of accelerators.
    :param kind: what runs on the VM.
    :param state: live or leaving.
    :param labels: labels in force, the platform's own ones included.
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
        """Return the VM with labels added.

        :param extra: mapping of label to value; wins over present labels.
        """
        return self._replace(labels={**self.labels, **extra})
