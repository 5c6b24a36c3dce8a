"""Records of a logger, for tests of what is logged."""

import contextlib
import logging

__all__ = ["recorded_logs"]


class _Recorder(logging.Handler):
    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        self.records.append(record)


@contextlib.contextmanager
def recorded_logs(name):
    """Yield the list of records that a logger and its children get.

    :param name: name of the logger.
    """
    logger, recorder = logging.getLogger(name), _Recorder()
    level = logger.level
    logger.addHandler(recorder)
    logger.setLevel(logging.INFO)
    try:
        yield recorder.records
    finally:
        logger.removeHandler(recorder)
        logger.setLevel(level)
