"""The operators' configuration of routes, services and keys, as daemons use it."""

from cowslipcourse.routes.services import EngineModel, EngineTimes, ServiceSpec
from cowslipcourse.routes.table import (
    OPEN_ACCESS,
    Access,
    CallerLimits,
    KeyedAccess,
    RequestKind,
    Route,
    RouteTable,
    Workspace,
)

__all__ = [
    "OPEN_ACCESS",
    "Access",
    "CallerLimits",
    "EngineModel",
    "EngineTimes",
    "KeyedAccess",
    "RequestKind",
    "Route",
    "RouteTable",
    "ServiceSpec",
    "Workspace",
]
