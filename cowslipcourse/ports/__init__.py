"""Interfaces between the system and everything outside its processes."""

from cowslipcourse.ports.engines import (
    UNTOLD,
    EngineControl,
    EngineOrder,
    EngineReport,
    GroupState,
    Membership,
    OrderAnswer,
    OrderName,
    TargetEntry,
)
from cowslipcourse.ports.platform import (
    ObjectStore,
    Row,
    TableService,
    Transaction,
    VmList,
)
from cowslipcourse.ports.points import era_of, store_point, version_in
from cowslipcourse.ports.rows import RowChanges, RowStore, RowWrite, StoredRow
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
    "UNTOLD",
    "EngineControl",
    "EngineLoad",
    "EngineOrder",
    "EngineReport",
    "EngineStatus",
    "GenerateRequest",
    "GroupState",
    "Membership",
    "ObjectStore",
    "Order",
    "OrderAnswer",
    "OrderKind",
    "OrderName",
    "Row",
    "RowChanges",
    "RowStore",
    "RowWrite",
    "ServiceAnswer",
    "StoredRow",
    "TableService",
    "TargetClient",
    "TargetEntry",
    "Transaction",
    "VmList",
    "era_of",
    "store_point",
    "version_in",
]
