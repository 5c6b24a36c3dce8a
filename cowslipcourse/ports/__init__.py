"""Interfaces between the system and everything outside its processes."""

from cowslipcourse.lazy_exports import lazy_exports
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
    began_later,
)
from cowslipcourse.ports.rows import RowChanges, RowStore, RowWrite, StoredRow
from cowslipcourse.ports.store_versions import era_of, pack_version, unpack_version

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
    "began_later",
    "era_of",
    "pack_version",
    "unpack_version",
]

# Only gateways and controllers use these.
__getattr__ = lazy_exports(
    __name__,
    {
        "EngineLoad": "targets",
        "EngineStatus": "targets",
        "GenerateRequest": "targets",
        "ObjectStore": "platform",
        "Order": "targets",
        "OrderKind": "targets",
        "Row": "platform",
        "ServiceResponse": "targets",
        "TableService": "platform",
        "TargetClient": "targets",
        "Transaction": "platform",
        "VmList": "platform",
    },
)
