"""Logging of events, each as a line of ``key=value`` pairs."""

import logging
import queue
import sys
from logging.handlers import QueueHandler, QueueListener

__all__ = [
    "BoundedQueueHandler",
    "KeyValueFormatter",
    "get_logger",
    "set_up_logging",
    "set_up_queued_logging",
]

MAX_QUEUED_LINES = 5000
"""Maximum number of lines queued for a slow reader of standard output; about 1 MB."""


def _quote(value):
    text = str(value)
    if text and not any(char in text for char in ' "=\n'):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return f'"{escaped}"'


class KeyValueFormatter(logging.Formatter):
    """Formats a record as ``time=… level=… event=… key=value …``."""

    def format(self, record):
        """See :meth:`logging.Formatter.format`."""
        pairs = {
            "time": self.formatTime(record, "%Y-%m-%dT%H:%M:%S"),
            "level": record.levelname.lower(),
            "from": record.name,
            "event": record.getMessage(),
            **getattr(record, "fields", {}),
        }
        if record.exc_info:
            pairs["exception"] = self.formatException(record.exc_info)
        return " ".join(f"{key}={_quote(value)}" for key, value in pairs.items())


class EventLogger:
    """Logs events with fields.

    :param name: logger name.
    """

    def __init__(self, name):
        self._logger = logging.getLogger(name)

    def info(self, event, **fields):
        """Log an event."""
        self._logger.info(event, extra={"fields": fields})

    def warning(self, event, **fields):
        """Log an event that an operator may have to investigate."""
        self._logger.warning(event, extra={"fields": fields})

    def exception(self, event, **fields):
        """Log an event with the exception being handled."""
        self._logger.exception(event, extra={"fields": fields})


def get_logger(name):
    """Return an :class:`EventLogger`.

    :param name: usually ``__name__``.
    """
    return EventLogger(name)


def set_up_logging(settings):
    """Write log lines to standard error.

    :param settings: :class:`~cowslipcourse.settings.LogSettings`
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    _install_handler(handler, settings)


def set_up_queued_logging(settings):
    """Write log lines to standard output in a separate thread.

    Logging never blocks: if the reader is too slow, lines are dropped and counted.

    :param settings: :class:`~cowslipcourse.settings.LogSettings`
    :returns: :class:`logging.handlers.QueueListener`; stopping it writes all queued
        lines.
    """
    output = logging.StreamHandler(sys.stdout)
    output.setFormatter(KeyValueFormatter())
    handler = BoundedQueueHandler(queue.Queue(MAX_QUEUED_LINES))
    listener = QueueListener(handler.queue, output)
    listener.start()
    _install_handler(handler, settings)
    return listener


class BoundedQueueHandler(QueueHandler):
    """Puts records into a bounded queue without blocking.

    :ivar dropped: number of records dropped because the queue was full.
    """

    dropped = 0
    _logged_dropped = 0

    def prepare(self, record):
        """Return the record unchanged: the queue's reader is in the same process."""
        return record

    def enqueue(self, record):
        """Put a record into the queue, or count it as dropped if the queue is full."""
        try:
            self.queue.put_nowait(record)
            self._log_dropped()
        except queue.Full:
            self.dropped += 1

    def _log_dropped(self):
        if self.dropped == self._logged_dropped:
            return
        record = logging.makeLogRecord(
            {
                "name": __name__,
                "levelno": logging.WARNING,
                "levelname": "WARNING",
                "msg": "lines-dropped",
                "fields": {"number": self.dropped - self._logged_dropped},
            }
        )
        self.queue.put_nowait(record)
        self._logged_dropped = self.dropped


def _install_handler(handler, settings):
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(settings.level.upper())
    logging.getLogger("uvicorn.access").disabled = True
    # The applications log the errors that they raise to abort a response.
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
