"""The process of a daemon: signals, log output and exit code."""

import asyncio
import os
import signal
import sys

from cowslipcourse.adapters.log import get_logger, set_up_queued_logging
from cowslipcourse.entry.daemon import EntryDaemon
from cowslipcourse.exceptions import CowslipError

__all__ = ["run_daemon"]

EXIT_FAILED = 1

log = get_logger(__name__)


def run_daemon(settings, path):
    """Run the daemon until SIGTERM, then end the process.

    :param settings: :class:`~cowslipcourse.entry.settings.EntrySettings`
    :param path: settings file that they were read from.
    """
    log_listener = set_up_queued_logging(settings.log)
    exit_code = 0
    try:
        asyncio.run(_run(settings, path))
    except CowslipError as error:
        log.warning("daemon-failed", code=error.code, detail=error.detail)
        exit_code = EXIT_FAILED
    finally:
        log_listener.stop()
    sys.stdout.flush()
    # Interpreter shutdown would take tenths of a second of the remaining grace
    # period on a busy VM, and no state is left to save.
    os._exit(exit_code)


async def _run(settings, path):
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    loop.add_signal_handler(signal.SIGINT, stopping.set)
    entry = EntryDaemon(settings, path)
    loop.add_signal_handler(
        signal.SIGHUP, lambda: entry.settings_watcher.reload("SIGHUP")
    )
    await entry.run(stopping)
