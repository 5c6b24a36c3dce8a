"""Decodes entries of the platform's list of targets and engines' reports."""

from typing import Literal

import msgspec

from cowslipcourse.exceptions import MalformedResponse
from cowslipcourse.platform.json_decoding import (
    Count,
    Name,
    Positive,
    Quantity,
    decode_as,
)
from cowslipcourse.ports import (
    UNKNOWN_INCARNATION,
    EngineReport,
    GroupMembership,
    GroupState,
    TargetEntry,
)
from cowslipcourse.ports.addresses import Address

__all__ = ["decode_entry", "decode_report"]

MS_PER_S = 1000.0


class _WireModel(msgspec.Struct, frozen=True):
    name: Name


class _WireGroup(msgspec.Struct, frozen=True):
    # Empty outside a group; the other fields are meaningless then.
    name: str = ""
    epoch: Count = 0
    rank: Count = 0
    state: str = ""


class _WireEntry(msgspec.Struct, frozen=True):
    """A row of the list.

    Every field that the platform always writes is required, even if unused: a missing
    one or one of another type shows that something else wrote the row.
    """

    service: Name
    address: Address
    zone: Name
    version: str
    # Per group if the target is an engine.
    slots: Positive
    # Whether the target accepts new work; its state in a group is a separate field.
    state: Literal["ready", "draining"]
    # Time for which the target remains cold, in ms as of the write of the row.
    coldLeftMs: Quantity  # noqa: N815
    # Counts the engine's own writes to the list. In a report the same field counts
    # accepted orders, so this one must not be used for orders.
    sequence: Count
    # Unix time in ms at which this incarnation of the target started. Absent where
    # targets get a new id at each start.
    born: Positive | msgspec.UnsetType = msgspec.UNSET
    domain: str = ""
    staged: tuple[Name, ...] = ()
    models: tuple[_WireModel, ...] = ()
    group: _WireGroup | None = None


class _WireReport(msgspec.Struct, frozen=True):
    # Counts the orders that this incarnation has accepted.
    sequence: Count
    born: Positive | msgspec.UnsetType = msgspec.UNSET
    staged: tuple[Name, ...] = ()
    models: tuple[_WireModel, ...] = ()
    group: _WireGroup | None = None
    inFlight: Count = 0  # noqa: N815
    waiting: Count = 0
    pace: Quantity = 1.0


def decode_entry(target_id, content):
    """Decode a row of the list into a :class:`~cowslipcourse.ports.TargetEntry`.

    :param target_id: key of the row.
    :param content: JSON bytes.
    :raises MalformedResponse: the row does not describe a usable target.
    """
    description = f"entry {target_id}"
    fields = decode_as(_WireEntry, content, description)
    return TargetEntry(
        id=target_id,
        service=fields.service,
        address=fields.address,
        data_centre=fields.zone,
        slots=fields.slots,
        is_leaving=fields.state == "draining",
        domain=fields.domain,
        staged=fields.staged,
        membership=_to_membership(fields, description),
        incarnation=fields.born or UNKNOWN_INCARNATION,
        cold_left_s=fields.coldLeftMs / MS_PER_S,
    )


def decode_report(content):
    """Decode a response into an :class:`~cowslipcourse.ports.EngineReport`.

    :param content: JSON bytes.
    :raises MalformedResponse: the response cannot be decoded.
    """
    fields = decode_as(_WireReport, content, "report")
    return EngineReport(
        order_count=fields.sequence,
        membership=_to_membership(fields, "report"),
        staged=fields.staged,
        running=fields.inFlight,
        waiting=fields.waiting,
        # Absent or 0 where the platform states none.
        pace=fields.pace or 1.0,
        incarnation=fields.born or UNKNOWN_INCARNATION,
    )


def _to_membership(fields, description):
    group = fields.group
    if group is None or not group.name:
        return None
    return GroupMembership(
        group=group.name,
        epoch=group.epoch,
        rank=group.rank,
        state=_to_group_state(group.state, description),
        # An engine serves at most the model of its group.
        model=fields.models[0].name if fields.models else "",
    )


def _to_group_state(value, description):
    try:
        return GroupState(value)
    except ValueError as error:
        raise MalformedResponse(f"invalid {description}: {error}") from error
