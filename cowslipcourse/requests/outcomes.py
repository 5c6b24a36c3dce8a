"""Outcomes of requests with idempotency keys, as a gateway remembers them.

An outcome is never evicted before its time window expires, and a key of an expired
window is refused, so that an evicted outcome cannot lead to a second run.
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
    "Failed",
    "OutcomeStore",
    "decode_outcome",
    "encode_outcomes",
    "error_from_code",
]

CAPACITY_RETRY_AFTER_S = 5.0


class Completed(NamedTuple):
    """Outcome of a request that ran and got a response.

    :param status: HTTP status of the target's response.
    :param content_type: media type of the body.
    :param body: body; empty if it was too long to be remembered.
    :param truncated: whether the body was too long to be remembered.
    """

    status: int
    content_type: str
    body: bytes
    truncated: bool = False


class Failed(NamedTuple):
    """Outcome of a request that failed after it may have run.

    :param code: code of the :class:`~cowslipcourse.exceptions.RequestError`.
    :param detail: human-readable description.
    """

    code: str
    detail: str


class _Entry(NamedTuple):
    fingerprint: str
    task: asyncio.Task


def _request_errors_by_code():
    exported = [getattr(exceptions, name) for name in exceptions.__all__]
    request_errors = [
        exported_type
        for exported_type in exported
        if isinstance(exported_type, type) and issubclass(exported_type, RequestError)
    ]
    return {error_type.code: error_type for error_type in request_errors}


_ERRORS_BY_CODE = _request_errors_by_code()


def error_from_code(code, detail, retry_after_s=None):
    """Return the error that was encoded as a code and a detail."""
    error_type = _ERRORS_BY_CODE.get(code, OutcomeUnknown)
    return error_type(detail, retry_after_s)


class OutcomeStore:
    """Runs requests with keys at most once and remembers their outcomes.

    :param limits: :class:`~cowslipcourse.settings.LimitSettings`
    :param started_at: loop time at which window 0 starts.
    """

    def __init__(self, limits, started_at):
        self._limits = limits
        self._started_at = started_at
        self._windows = {}
        self._closed = False

    def window(self, now):
        """Return the number of the current window.

        :param now: loop time.
        """
        return int((now - self._started_at) / self._limits.key_window_s)

    def __len__(self):
        return sum(len(entries) for entries in self._windows.values())

    def close(self):
        """Refuse requests whose keys are not remembered."""
        self._closed = True

    async def run_once(self, key, window, fingerprint, execute, now):
        """Run a request unless it was run before, and return its outcome.

        The request continues if the caller disconnects, so that a repeat gets its
        outcome.

        :param key: key, qualified with its workspace.
        :param window: window of the key.
        :param fingerprint: digest of the request; a key belongs to one request only.
        :param execute: coroutine function that runs the request and returns
            :class:`Completed`.
        :param now: loop time.
        :returns: ``(Completed, whether it was remembered)``
        :raises RequestError: the request failed or was not run.
        """
        self._evict_expired(now)
        if window <= self.window(now) - self._limits.key_windows:
            raise KeyExpired(
                "the key's window has expired; whether the request was run is unknown"
            )
        if window > self.window(now):
            raise KeyExpired("the key's window is in the future")
        entries = self._windows.setdefault(window, {})
        entry = entries.get(key)
        remembered = entry is not None
        if entry is None:
            self._require_capacity()
            task = asyncio.create_task(self._execute(execute))
            entry = entries[key] = _Entry(fingerprint, task)
            task.add_done_callback(
                lambda finished_task: self._forget_not_run(entries, key, finished_task)
            )
        elif entry.fingerprint != fingerprint:
            raise KeyReused("the key was used for another request")
        result = await asyncio.shield(entry.task)
        if isinstance(result, RequestError):
            raise result
        return result, remembered

    async def wait_until_finished(self):
        """Wait until no request is running."""
        tasks = [e.task for entries in self._windows.values() for e in entries.values()]
        await asyncio.gather(*tasks, return_exceptions=True)

    def finished(self):
        """Return ``(window, key, fingerprint, outcome)`` of every finished request."""
        return [
            (window, key, entry.fingerprint, entry.task.result())
            for window, entries in self._windows.items()
            for key, entry in entries.items()
            if entry.task.done() and not entry.task.cancelled()
        ]

    def _require_capacity(self):
        if self._closed:
            raise exceptions.GatewayDraining("the key's home gateway is stopping")
        if len(self) >= self._limits.keyed_outcomes:
            raise NoTargetAvailable(
                "the limit of remembered keys is reached", CAPACITY_RETRY_AFTER_S
            )

    async def _execute(self, execute):
        try:
            result = await execute()
        except RequestError as error:
            return error
        except Exception as error:
            return OutcomeUnknown(f"the gateway failed: {error!r}")
        if len(result.body) > self._limits.keyed_body_bytes:
            return result._replace(body=b"", truncated=True)
        return result

    def _forget_not_run(self, entries, key, task):
        """Forget a request that provably was not run, so that it may be retried."""
        if task.cancelled():
            return
        result = task.result()
        if isinstance(result, RequestError) and result.outcome == "not_run":
            entries.pop(key, None)

    def _evict_expired(self, now):
        newest_expired = self.window(now) - self._limits.key_windows
        for window in [w for w in self._windows if w <= newest_expired]:
            running = any(not e.task.done() for e in self._windows[window].values())
            if not running:
                del self._windows[window]


class _EncodedOutcome(NamedTuple):
    window: int
    key: str
    fingerprint: str
    completed: Completed | None
    failed: Failed | None


def encode_outcomes(outcomes):
    """Encode all outcomes for repeats that arrive after a planned stop.

    :param outcomes: :class:`OutcomeStore` that is closed and has no running request.
    """
    encoded_outcomes = []
    for window, key, fingerprint, result in outcomes.finished():
        if isinstance(result, RequestError):
            record = _EncodedOutcome(
                window, key, fingerprint, None, Failed(result.code, result.detail)
            )
        else:
            record = _EncodedOutcome(window, key, fingerprint, result, None)
        encoded_outcomes.append(record)
    return msgspec.json.encode(encoded_outcomes)


def decode_outcome(content, key, fingerprint):
    """Return the outcome of a key from encoded outcomes.

    :param content: bytes made by :func:`encode_outcomes`.
    :param key: key, qualified with its workspace.
    :param fingerprint: digest of the request.
    :returns: :class:`Completed`, or ``None`` if no request with the key was run.
    :raises RequestError: the request failed, or the key was used for another one.
    """
    for record in msgspec.json.decode(content, type=list[_EncodedOutcome]):
        if record.key != key:
            continue
        if record.fingerprint != fingerprint:
            raise KeyReused("the key was used for another request")
        if record.completed is None:
            raise error_from_code(record.failed.code, record.failed.detail)
        return record.completed
    return None
