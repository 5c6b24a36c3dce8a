"""Objects shared by the tasks of a controller."""

from typing import Any, NamedTuple

__all__ = ["ControllerContext"]


class ControllerContext(NamedTuple):
    """Settings, ports and state that a controller's tasks work with.

    :param settings: :class:`~cowslipcourse.settings.ControllerSettings`
    :param agent: :class:`~cowslipcourse.daemon.Agent`
    :param fleet: :class:`~cowslipcourse.controller.fleet_watch.FleetMonitor`
    :param table: :class:`~cowslipcourse.ports.TableService`
    :param targets: :class:`~cowslipcourse.ports.TargetClient`
    """

    settings: Any
    agent: Any
    fleet: Any
    table: Any
    targets: Any
