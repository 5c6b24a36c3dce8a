"""Event loop, clock and signal handling of a daemon."""

import asyncio
import gc
import signal
import sys

import uvloop

from cowslipcourse.adapters.log import get_logger, set_up_logging
from cowslipcourse.exceptions import CowslipError, SettingsError
from cowslipcourse.settings_file import load_settings

__all__ = ["now", "run_daemon"]

EXIT_BAD_SETTINGS = 2
EXIT_FAILED = 1
GC_THRESHOLDS = (50_000, 20, 50)

log = get_logger(__name__)


def now():
    """Return the time of the running event loop in seconds."""
    return asyncio.get_running_loop().time()


def run_daemon(arguments, settings_schema, build_daemon):
    """Run a daemon until a signal stops it.

    The first SIGTERM or SIGINT requests a planned stop, the second ends it at once.

    :param arguments: command-line arguments: the path of the settings file.
    :param settings_schema: schema of the settings file.
    :param build_daemon: called with the settings; returns an object with
        ``run(stopping)``, where ``stopping`` is an :class:`asyncio.Event`.
    :returns: exit code.
    """
    if len(arguments) != 1 or arguments[0].startswith("-"):
        print("expected one argument: the settings file (TOML)", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    try:
        settings = load_settings(arguments[0], settings_schema)
    except SettingsError as error:
        for problem in error.problems:
            print(problem, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    set_up_logging(settings.log)
    _reduce_garbage_collections()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        try:
            runner.run(_run_until_signal(build_daemon(settings)))
        except CowslipError as error:
            log.warning("daemon-failed", code=error.code, detail=error.detail)
            return EXIT_FAILED
    return 0


def _reduce_garbage_collections():
    """Collect garbage less often: reference counts free the objects of a request."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


async def _run_until_signal(daemon):
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    main_task = asyncio.current_task()

    def on_signal():
        if stopping.is_set():
            main_task.cancel()
        stopping.set()

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, on_signal)
    try:
        await daemon.run(stopping)
    except asyncio.CancelledError:
        log.warning("stopped-at-once")
