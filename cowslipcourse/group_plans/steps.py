"""Steps that the coordinator takes with an engine."""

from enum import StrEnum
from typing import NamedTuple

from cowslipcourse.ports import EngineOrder

__all__ = ["Step", "StepKind"]


class StepKind(StrEnum):
    """Kind of a step."""

    ASK = "ask"
    ORDER = "order"


class Step(NamedTuple):
    """An action to take now.

    :param kind: request a report, or send the order.
    :param engine: id of the engine.
    :param order: :class:`~cowslipcourse.ports.EngineOrder`, or ``None``.
    """

    kind: StepKind
    engine: str
    order: EngineOrder | None = None
