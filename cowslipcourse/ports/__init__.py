"""Interfaces between the system and everything outside its processes."""

from cowslipcourse.ports.engines import (
    UNKNOWN_INCARNATION,
    EngineControl,
    EngineOrder,
    EngineReport,
    GroupMembership,
    GroupState,
    OrderOperation,
    OrderResult,
    TargetEntry,
)
from cowslipcourse.ports.platform import (
    ObjectStore,
    Row,
    TableService,
    Transaction,
    VmList,
)
from cowslipcourse.ports.rows import RowChanges, RowStore, RowWrite, StoredRow
from cowslipcourse.ports.store_versions import era_of, pack_version, unpack_version
from cowslipcourse.ports.targets import (
    EngineLoad,
    EngineStatus,
    GenerateRequest,
    Order,
    OrderKind,
    ServiceResponse,
    TargetClient,
)

__all__ = [
    "UNKNOWN_INCARNATION",
    "EngineControl",
    "EngineLoad",
    "EngineOrder",
    "EngineReport",
    "EngineStatus",
    "GenerateRequest",
    "GroupMembership",
    "GroupState",
    "ObjectStore",
    "Order",
    "OrderKind",
    "OrderOperation",
    "OrderResult",
    "Row",
    "RowChanges",
    "RowStore",
    "RowWrite",
    "ServiceResponse",
    "StoredRow",
    "TableService",
    "TargetClient",
    "TargetEntry",
    "Transaction",
    "VmList",
    "era_of",
    "pack_version",
    "unpack_version",
]
