"""What the parts of a gateway share."""

import asyncio
from typing import Any, NamedTuple

__all__ = ["GatewayTools", "Spawner"]


class Spawner:
    """Keeps background tasks from being collected before they end."""

    def __init__(self):
        self._tasks = set()

    def __call__(self, coroutine):
        """Run a coroutine in the background."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


class GatewayTools(NamedTuple):
    """Ports and state that a gateway is built with.

    :param settings: :class:`~cowslipcourse.settings.GatewaySettings`
    :param agent: :class:`~cowslipcourse.daemon.Agent`
    :param view: :class:`~cowslipcourse.gateway.fleet_view.FleetView`
    :param chooser: :class:`~cowslipcourse.gateway.chooser.Chooser`
    :param targets: :class:`~cowslipcourse.ports.TargetClient`
    :param table: :class:`~cowslipcourse.ports.TableService`
    :param objects: :class:`~cowslipcourse.ports.ObjectStore`
    :param retries: :class:`~cowslipcourse.admission.RetryBudget`
    :param resumes: :class:`~cowslipcourse.admission.RetryBudget` of broken streams;
        it is larger, since a whole group's streams break at once.
    :param quarantine: :class:`~cowslipcourse.quarantining.Quarantine`
    :param outcomes: :class:`~cowslipcourse.requests.OutcomeStore`
    :param metrics: metrics sink.
    :param rng: :class:`random.Random`
    :param spawn: :class:`Spawner`
    """

    settings: Any
    agent: Any
    view: Any
    chooser: Any
    targets: Any
    table: Any
    objects: Any
    retries: Any
    resumes: Any
    quarantine: Any
    outcomes: Any
    metrics: Any
    rng: Any
    spawn: Any
