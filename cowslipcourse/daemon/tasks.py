"""Tasks that run as long as their daemon."""

import asyncio
import os

from cowslipcourse.adapters.log import get_logger

__all__ = ["run_forever"]

EXIT_CRASHED = 70

log = get_logger(__name__)


def run_forever(coroutine, name):
    """Run a coroutine that is not expected to return.

    If it fails, the process exits at once: a daemon that continues without one of
    its tasks is worse than one that is restarted.

    :param coroutine: for example ``shard_manager.run()``.
    :param name: name of the task in logs.
    :returns: :class:`asyncio.Task`
    """
    task = asyncio.create_task(coroutine, name=name)
    task.add_done_callback(_exit_on_failure)
    return task


def _exit_on_failure(task):
    if task.cancelled() or task.exception() is None:
        return
    try:
        raise task.exception()
    except Exception:
        log.exception("task-crashed", task=task.get_name())
    os._exit(EXIT_CRASHED)
