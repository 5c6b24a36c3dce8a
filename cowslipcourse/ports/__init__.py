"""Interfaces between the system and everything outside its processes."""

from cowslipcourse.ports.platform import (
    ObjectStore,
    Row,
    TableService,
    Transaction,
    VmList,
)
from cowslipcourse.ports.targets import (
    EngineLoad,
    EngineStatus,
    GenerateRequest,
    Order,
    OrderKind,
    ServiceAnswer,
    TargetClient,
)

__all__ = [
    "EngineLoad",
    "EngineStatus",
    "GenerateRequest",
    "ObjectStore",
    "Order",
    "OrderKind",
    "Row",
    "ServiceAnswer",
    "TableService",
    "TargetClient",
    "Transaction",
    "VmList",
]
