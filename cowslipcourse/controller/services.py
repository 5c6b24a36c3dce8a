"""What the tasks of a controller share."""

from typing import Any, NamedTuple

__all__ = ["Services"]


class Services(NamedTuple):
    """Ports and state that a controller is built with.

    :param settings: :class:`~cowslipcourse.settings.ControllerSettings`
    :param agent: :class:`~cowslipcourse.daemon.Agent`
    :param watch: :class:`~cowslipcourse.controller.fleet_watch.FleetWatch`
    :param table: :class:`~cowslipcourse.ports.TableService`
    :param targets: :class:`~cowslipcourse.ports.TargetClient`
    """

    settings: Any
    agent: Any
    watch: Any
    table: Any
    targets: Any
