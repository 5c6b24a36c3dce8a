"""Models and a configuration for runs with emulated engines."""

from cowslipcourse.emulator.engines import OPEN_DELAY_S, SERVICE, SLOTS, STALL_S
from cowslipcourse.routes import CallerLimits, EngineModel, RouteTable, ServiceSpec

__all__ = ["LARGE", "MODELS", "SERVICE", "SMALL", "STALL_S", "route_table"]

LARGE = EngineModel("large", 4, 0.67, 1.0, 16.0, 1.6)
SMALL = EngineModel("small", 2, 0.33, 0.6, 12.0, 1.1)
MODELS = (LARGE, SMALL)


def route_table():
    """Return a configuration with one service that has both models."""
    spec = ServiceSpec(
        SERVICE,
        models=(LARGE, SMALL),
        slots=SLOTS,
        open_s=OPEN_DELAY_S,
        loads_per_s=20.0,
    )
    return RouteTable(1, (), (spec,), CallerLimits())
