"""Engines' entries and reports, and the orders that form groups of them."""

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
    "began_later",
]


UNKNOWN_INCARNATION = 0
"""Incarnation of a target that does not state one."""


def began_later(incarnation, other):
    """Whether an incarnation is known to have begun after another one."""
    return other != UNKNOWN_INCARNATION and incarnation > other


class GroupState(StrEnum):
    """State of an engine in its group."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


class GroupMembership(NamedTuple):
    """An engine's membership of a group.

    :param group: group name.
    :param epoch: epoch of the group.
    :param rank: index among the members; 0 is the head.
    :param state: see :class:`GroupState`.
    :param model: model of the group, or empty if not stated.
    """

    group: str
    epoch: int
    rank: int
    state: GroupState
    model: str = ""


class TargetEntry(NamedTuple):
    """A target as the platform lists it.

    :param id: id of the target, which a restart may keep.
    :param service: service that it belongs to.
    :param address: ``ip:port``
    :param data_centre: data centre in which it runs.
    :param slots: number of requests that it runs concurrently.
    :param is_leaving: whether it accepts no new work.
    :param domain: fabric domain, or empty for a plain service.
    :param staged: models whose weights are on its host.
    :param membership: :class:`GroupMembership`, or ``None``.
    :param incarnation: Unix time in ms at which the target last started, or
        :data:`UNKNOWN_INCARNATION`.
    :param cold_left_s: seconds for which it remains cold, as of its last write.
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
    cold_left_s: float = 0.0


class EngineReport(NamedTuple):
    """An engine's response to a direct request for its state.

    :param order_count: number of orders accepted since the engine's last start.
    :param membership: :class:`GroupMembership`, or ``None``.
    :param staged: models whose weights are on its host.
    :param running: number of running requests.
    :param waiting: number of queued requests.
    :param pace: factor on its processing times; above 1 means slow.
    :param incarnation: incarnation that reports; see :class:`TargetEntry`.
    """

    order_count: int
    membership: GroupMembership | None
    staged: tuple[str, ...]
    running: int = 0
    waiting: int = 0
    pace: float = 1.0
    incarnation: int = UNKNOWN_INCARNATION


class OrderOperation(StrEnum):
    """Operation that an order requests."""

    JOIN = "join"
    OPEN = "open"
    CLOSE = "close"
    LEAVE = "leave"
    STAGE = "stage"


class EngineOrder(NamedTuple):
    """An order to one engine.

    :param operation: see :class:`OrderOperation`.
    :param expected_order_count: order count that the engine must have; it refuses the
        order otherwise.
    :param group: group that the order concerns.
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
    """Result of an order.

    ``BEGUN`` increments the engine's order count. ``DONE`` says that the requested
    state holds now: it held before, or the order established it and incremented the
    count.
    """

    BEGUN = "begun"
    DONE = "done"
    STATE_DIFFERS = "state-differs"
    EPOCH_TOO_OLD = "epoch-too-old"
    OTHER_ENGINE = "other-engine"
    REFUSED = "refused"


class EngineControl(Protocol):
    """Direct requests to engines."""

    async def report(self, entry):
        """Request the :class:`EngineReport` of an engine.

        :param entry: :class:`TargetEntry`
        :raises TargetUnreachable: no response in time.
        :raises MalformedResponse: the response cannot be decoded.
        """

    async def probe(self, entry, health_path):
        """Return the head of a response that only shows the state of a target.

        :param entry: :class:`TargetEntry`
        :param health_path: path of the health check of a target that is no engine.
        :raises TargetUnreachable: no response in time.
        """

    async def order(self, entry, order):
        """Send an order and return an :class:`OrderResult`.

        :param entry: :class:`TargetEntry`
        :param order: :class:`EngineOrder`
        :raises TargetUnreachable: the order may have been executed, or may be later.
        """
