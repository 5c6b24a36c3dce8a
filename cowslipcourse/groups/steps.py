"""What to do with an engine next."""

from enum import StrEnum
from typing import NamedTuple

from cowslipcourse.ports import EngineOrder

__all__ = ["Step", "StepKind"]


class StepKind(StrEnum):
    """What to do with an engine next."""

    ASK = "ask"
    ORDER = "order"


class Step(NamedTuple):
    """Something to be done now.

    :param kind: ask for a report, or give the order.
    :param engine: id of the engine.
    :param order: :class:`~cowslipcourse.ports.EngineOrder`, or ``None``.
    """

    kind: StepKind
    engine: str
    order: EngineOrder | None = None
