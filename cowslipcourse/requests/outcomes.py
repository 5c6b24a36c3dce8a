"""Outcomes that a gateway remembers for requests with a key.

An entry is never dropped before its time window is over, and a key whose window is
over is refused: forgetting an outcome must not make a request run again.
"""

import asyncio
from typing import NamedTuple

import msgspec

from cowslipcourse import exceptions
from cowslipcourse.exceptions import (
    KeyExpired,
    KeyReused,
    NoTargetAvailable,
    OutcomeUnknown,
    RequestError,
)

__all__ = [
    "Completed",
    "Ended",
    "OutcomeStore",
    "decode_outcome",
    "encode_outcomes",
    "error_from_code",
]

CROWDED_RETRY_S = 5.0


class Completed(NamedTuple):
    """A request that ran and was answered.

    :param status: HTTP status of the target's answer.
    :param content_type: media type of the body.
    :param body: body; empty if it was too long to be kept.
    :param truncated: whether the body was too long to be kept.
    """

    status: int
    content_type: str
    body: bytes
    truncated: bool = False


class Ended(NamedTuple):
    """A request that ended with an error after it may have run.

    :param code: code of the :class:`~cowslipcourse.exceptions.RequestError`.
    :param detail: sentence for people.
    """

    code: str
    detail: str


class _Entry(NamedTuple):
    fingerprint: str
    task: asyncio.Task


def _codes():
    types = [getattr(exceptions, name) for name in exceptions.__all__]
    found = [t for t in types if isinstance(t, type) and issubclass(t, RequestError)]
    return {error_type.code: error_type for error_type in found}


_ERRORS_BY_CODE = _codes()


def error_from_code(code, detail, retry_after_s=None):
    """Return the error with a code, as it was before it was written down."""
    error_type = _ERRORS_BY_CODE.get(code, OutcomeUnknown)
    return error_type(detail, retry_after_s)


class OutcomeStore:
    """Runs keyed requests at most once and remembers how they ended.

    :param limits: :class:`~cowslipcourse.settings.LimitSettings`
    :param started_at: loop time from which windows are counted.
    """

    def __init__(self, limits, started_at):
        self._limits = limits
        self._started_at = started_at
        self._windows = {}
        self._closed = False

    def window(self, now):
        """Return the number of the present window."""
        return int((now - self._started_at) / self._limits.key_window_s)

    def __len__(self):
        return sum(len(entries) for entries in self._windows.values())

    def close(self):
        """Take no further requests that are not remembered already."""
        self._closed = True

    async def run_once(self, key, window, fingerprint, execute, now):
        """Run a request unless it was run before, and return how it ended.

        The request goes on if the caller leaves, so that a repeat finds its outcome.

        :param key: key, unique with its workspace.
        :param window: window of the key.
        :param fingerprint: digest of the request; a key stands for one request.
        :param execute: coroutine function that returns :class:`Completed`.
        :param now: loop time.
        :returns: ``(Completed, whether it was remembered)``
        :raises RequestError: how it ended, or why it was not run.
        """
        self._forget_old(now)
        if window <= self.window(now) - self._limits.key_windows:
            raise KeyExpired("the key is too old to tell whether it was run")
        if window > self.window(now):
            raise KeyExpired("the key is from a window that has not come yet")
        entries = self._windows.setdefault(window, {})
        entry = entries.get(key)
        remembered = entry is not None
        if entry is None:
            self._require_room()
            task = asyncio.create_task(self._execute(execute))
            entry = entries[key] = _Entry(fingerprint, task)
            task.add_done_callback(lambda done: self._settle(entries, key, done))
        elif entry.fingerprint != fingerprint:
            raise KeyReused("the key was used with another request")
        ended = await asyncio.shield(entry.task)
        if isinstance(ended, RequestError):
            raise ended
        return ended, remembered

    async def wait_until_finished(self):
        """Wait until nothing runs any more."""
        tasks = [e.task for entries in self._windows.values() for e in entries.values()]
        await asyncio.gather(*tasks, return_exceptions=True)

    def finished(self):
        """Return ``(window, key, fingerprint, ended)`` of every finished request."""
        return [
            (window, key, entry.fingerprint, entry.task.result())
            for window, entries in self._windows.items()
            for key, entry in entries.items()
            if entry.task.done() and not entry.task.cancelled()
        ]

    def _require_room(self):
        if self._closed:
            raise exceptions.GatewayDraining("the home of the key is stopping")
        if len(self) >= self._limits.keyed_outcomes:
            raise NoTargetAvailable("too many keys are remembered", CROWDED_RETRY_S)

    async def _execute(self, execute):
        try:
            ended = await execute()
        except RequestError as error:
            return error
        except Exception as error:
            return OutcomeUnknown(f"the gateway failed: {error!r}")
        if len(ended.body) > self._limits.keyed_body_bytes:
            return ended._replace(body=b"", truncated=True)
        return ended

    def _settle(self, entries, key, task):
        """Forget a request that provably was not run: it may be tried again."""
        if task.cancelled():
            return
        ended = task.result()
        if isinstance(ended, RequestError) and ended.outcome == "not_run":
            entries.pop(key, None)

    def _forget_old(self, now):
        oldest = self.window(now) - self._limits.key_windows
        for window in [w for w in self._windows if w <= oldest]:
            running = any(not e.task.done() for e in self._windows[window].values())
            if not running:
                del self._windows[window]


class _Sealed(NamedTuple):
    window: int
    key: str
    fingerprint: str
    completed: Completed | None
    ended: Ended | None


def encode_outcomes(outcomes):
    """Return all outcomes as bytes, for repeats that come after a planned stop.

    :param outcomes: :class:`OutcomeStore` that was closed and finished.
    """
    sealed = []
    for window, key, fingerprint, ended in outcomes.finished():
        if isinstance(ended, RequestError):
            item = _Sealed(
                window, key, fingerprint, None, Ended(ended.code, ended.detail)
            )
        else:
            item = _Sealed(window, key, fingerprint, ended, None)
        sealed.append(item)
    return msgspec.json.encode(sealed)


def decode_outcome(content, key, fingerprint):
    """Return the sealed outcome of a key.

    :param content: bytes made by :func:`encode_outcomes`.
    :returns: :class:`Completed`, or ``None`` if the key was never run there.
    :raises RequestError: how it ended.
    """
    for item in msgspec.json.decode(content, type=list[_Sealed]):
        if item.key != key:
            continue
        if item.fingerprint != fingerprint:
            raise KeyReused("the key was used with another request")
        if item.completed is None:
            raise error_from_code(item.ended.code, item.ended.detail)
        return item.completed
    return None
