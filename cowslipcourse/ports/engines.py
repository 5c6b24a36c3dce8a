"""What engines say of themselves, and the orders that form groups of them."""

from enum import StrEnum
from typing import NamedTuple, Protocol

__all__ = [
    "UNKNOWN_INCARNATION",
    "EngineControl",
    "EngineOrder",
    "EngineReport",
    "GroupMembership",
    "GroupState",
    "OrderOperation",
    "OrderResult",
    "TargetEntry",
]


UNKNOWN_INCARNATION = 0
"""Incarnation of a target that does not tell its lives apart."""


class GroupState(StrEnum):
    """How far an engine is in its group."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


class GroupMembership(NamedTuple):
    """The group that an engine belongs to.

    :param group: group name.
    :param epoch: epoch of the group.
    :param rank: place among the members; 0 is the head.
    :param state: see :class:`GroupState`.
    :param model: model of the group, or empty if not told.
    """

    group: str
    epoch: int
    rank: int
    state: GroupState
    model: str = ""


class TargetEntry(NamedTuple):
    """A target as the platform lists it.

    :param id: name of the target; it may start again under it.
    :param service: service that it belongs to.
    :param address: ``ip:port``
    :param data_centre: where it runs.
    :param slots: requests that it runs at once.
    :param is_leaving: whether it takes no new work.
    :param domain: fabric domain, or empty for a plain service.
    :param staged: models whose weights are on its host.
    :param membership: its group, or ``None``.
    :param incarnation: Unix time in ms at which this life of the target began, or
        :data:`UNKNOWN_INCARNATION`.
    """

    id: str
    service: str
    address: str
    data_centre: str
    slots: int
    is_leaving: bool = False
    domain: str = ""
    staged: tuple[str, ...] = ()
    membership: GroupMembership | None = None
    incarnation: int = UNKNOWN_INCARNATION


class EngineReport(NamedTuple):
    """An engine's answer when asked directly.

    :param order_count: orders that this life of the engine has accepted.
    :param membership: its group, or ``None``.
    :param staged: models whose weights are on its host.
    :param running: requests that run.
    :param waiting: requests that wait.
    :param pace: factor on its times; more than 1 means slow.
    :param incarnation: life of the engine that reports; see :class:`TargetEntry`.
    """

    order_count: int
    membership: GroupMembership | None
    staged: tuple[str, ...]
    running: int = 0
    waiting: int = 0
    pace: float = 1.0
    incarnation: int = UNKNOWN_INCARNATION


class OrderOperation(StrEnum):
    """What an order asks for."""

    JOIN = "join"
    OPEN = "open"
    CLOSE = "close"
    LEAVE = "leave"
    STAGE = "stage"


class EngineOrder(NamedTuple):
    """An order to one engine.

    :param operation: see :class:`OrderOperation`.
    :param expected_order_count: order count the engine must have; it refuses otherwise.
    :param group: group that is meant.
    :param epoch: epoch of the group.
    :param model: model to serve or to stage.
    :param members: ids of the members, the head first.
    """

    operation: OrderOperation
    expected_order_count: int
    group: str = ""
    epoch: int = 0
    model: str = ""
    members: tuple[str, ...] = ()


class OrderResult(StrEnum):
    """How an engine answered an order.

    ``BEGUN`` counts up the engine's order count. ``DONE`` says that what was asked
    for holds now, whether it held before or the order did it and counted up.
    """

    BEGUN = "begun"
    DONE = "done"
    STATE_DIFFERS = "state-differs"
    EPOCH_TOO_OLD = "epoch-too-old"
    OTHER_ENGINE = "other-engine"
    REFUSED = "refused"


class EngineControl(Protocol):
    """Direct calls to engines."""

    async def report(self, entry):
        """Return the :class:`EngineReport` of an engine.

        :param entry: :class:`TargetEntry`
        :raises TargetUnreachable: no answer in time.
        :raises MalformedAnswer: the answer cannot be read.
        """

    async def order(self, entry, order):
        """Give an order and return an :class:`OrderResult`.

        :param entry: :class:`TargetEntry`
        :param order: :class:`EngineOrder`
        :raises TargetUnreachable: it may have been carried out, or may be later.
        """
