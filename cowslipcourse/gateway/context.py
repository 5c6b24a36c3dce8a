"""Objects that the components of a gateway share."""

import asyncio
from typing import Any, NamedTuple

__all__ = ["BackgroundTasks", "GatewayContext"]


class BackgroundTasks:
    """Starts background tasks and holds references to them until they end."""

    def __init__(self):
        self._tasks = set()

    def __call__(self, coroutine):
        """Run a coroutine in the background and return its task."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


class GatewayContext(NamedTuple):
    """Ports and state that the components of a gateway share.

    :param settings: :class:`~cowslipcourse.settings.GatewaySettings`
    :param agent: :class:`~cowslipcourse.daemon.Agent`
    :param fleet_view: :class:`~cowslipcourse.gateway.fleet_view.FleetView`
    :param chooser: :class:`~cowslipcourse.gateway.group_selection.GroupChooser`
    :param targets: :class:`~cowslipcourse.ports.TargetClient`
    :param table: :class:`~cowslipcourse.ports.TableService`
    :param object_store: :class:`~cowslipcourse.ports.ObjectStore`
    :param retry_budget: :class:`~cowslipcourse.admission.RetryBudget`
    :param resume_budget: :class:`~cowslipcourse.admission.RetryBudget` for resuming
        broken streams; larger, since all streams of a group break at once.
    :param quarantine: :class:`~cowslipcourse.quarantine_runtime.Quarantine`
    :param outcomes: :class:`~cowslipcourse.requests.OutcomeStore`
    :param metrics: for example :class:`~cowslipcourse.adapters.statsd.StatsdMetrics`
    :param rng: :class:`random.Random`
    :param spawn: :class:`BackgroundTasks`, called with coroutines.
    """

    settings: Any
    agent: Any
    fleet_view: Any
    chooser: Any
    targets: Any
    table: Any
    object_store: Any
    retry_budget: Any
    resume_budget: Any
    quarantine: Any
    outcomes: Any
    metrics: Any
    rng: Any
    spawn: Any
