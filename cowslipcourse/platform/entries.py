"""Entries of the platform's list of targets, and what engines report."""

from typing import Literal

import msgspec

from cowslipcourse.exceptions import MalformedAnswer
from cowslipcourse.platform.wire import Count, Name, Positive, Quantity, decode_as
from cowslipcourse.ports import (
    UNKNOWN_INCARNATION,
    EngineReport,
    GroupMembership,
    GroupState,
    TargetEntry,
)
from cowslipcourse.ports.addresses import Address

__all__ = ["decode_entry", "decode_report"]


class _WireModel(msgspec.Struct, frozen=True):
    name: Name


class _WireGroup(msgspec.Struct, frozen=True):
    # Empty outside a group; the other fields mean nothing then.
    name: str = ""
    epoch: Count = 0
    rank: Count = 0
    state: str = ""


class _WireEntry(msgspec.Struct, frozen=True):
    """Every field that the platform always writes is required, used here or not.

    One that is missing or of another type shows that something else wrote the row.
    """

    service: Name
    address: Address
    zone: Name
    version: str
    # Of a whole group, if the target is an engine.
    slots: Positive
    # Whether it takes new work; its state in a group is another field.
    state: Literal["ready", "draining"]
    # Not used: what matters of a cold engine shows in its times.
    coldLeftMs: Quantity  # noqa: N815
    # Counts the engine's own writes to the list. In a report the field of this name
    # counts accepted orders, so this one must not be used for orders.
    sequence: Count
    # Unix time in milliseconds at which this life of the target began. Where targets
    # have a new id at each start the platform does not write it.
    born: Positive | msgspec.UnsetType = msgspec.UNSET
    domain: str = ""
    staged: tuple[Name, ...] = ()
    models: tuple[_WireModel, ...] = ()
    group: _WireGroup | None = None


class _WireReport(msgspec.Struct, frozen=True):
    # Counts the orders that this life has accepted.
    sequence: Count
    born: Positive | msgspec.UnsetType = msgspec.UNSET
    staged: tuple[Name, ...] = ()
    models: tuple[_WireModel, ...] = ()
    group: _WireGroup | None = None
    inFlight: Count = 0  # noqa: N815
    waiting: Count = 0
    pace: Quantity = 1.0


def decode_entry(target_id, content):
    """Return the :class:`~cowslipcourse.ports.TargetEntry` of a list row.

    :param target_id: key of the row.
    :param content: JSON bytes.
    :raises MalformedAnswer: the row names no target that can be used.
    """
    what = f"entry {target_id}"
    fields = decode_as(_WireEntry, content, what)
    return TargetEntry(
        id=target_id,
        service=fields.service,
        address=fields.address,
        data_centre=fields.zone,
        slots=fields.slots,
        is_leaving=fields.state == "draining",
        domain=fields.domain,
        staged=fields.staged,
        membership=_membership(fields, what),
        incarnation=fields.born or UNKNOWN_INCARNATION,
    )


def decode_report(content):
    """Return the :class:`~cowslipcourse.ports.EngineReport` in an answer.

    :raises MalformedAnswer: the answer cannot be read.
    """
    fields = decode_as(_WireReport, content, "report")
    return EngineReport(
        order_count=fields.sequence,
        membership=_membership(fields, "report"),
        staged=fields.staged,
        running=fields.inFlight,
        waiting=fields.waiting,
        # Absent or 0 where the platform declares none.
        pace=fields.pace or 1.0,
        incarnation=fields.born or UNKNOWN_INCARNATION,
    )


def _membership(fields, what):
    group = fields.group
    if group is None or not group.name:
        return None
    return GroupMembership(
        group=group.name,
        epoch=group.epoch,
        rank=group.rank,
        state=_group_state(group.state, what),
        # An engine serves at most the model of its group.
        model=fields.models[0].name if fields.models else "",
    )


def _group_state(value, what):
    try:
        return GroupState(value)
    except ValueError as error:
        raise MalformedAnswer(f"unreadable {what}: {error}") from error
