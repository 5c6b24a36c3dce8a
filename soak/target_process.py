"""A target as a process of its own: python -m soak.target_process NAME ADDRESS FOLDER.

It records each request that it reads, and behaves as the mode in its folder says.
"""

import asyncio
import sys
from enum import StrEnum
from pathlib import Path

from starlette.applications import Starlette
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from cowslipcourse.adapters.http_server import WebServer
from cowslipcourse.platform.headers import not_executed_head
from soak.retry_checks import Arrival

__all__ = ["TargetMode", "arrivals_path", "mode_path", "read_arrivals"]

EXECUTION_S = 0.03
SLOW_EXECUTION_S = 1.0
EVENT_COUNT = 8
EVENT_INTERVAL_S = 0.03
EVENTS_BEFORE_BREAK = 2
FAILURE_STATUS = 500
MS_PER_S = 1000.0
REFUSAL_STATUS = 503


class TargetMode(StrEnum):
    """What a target does with the requests that it reads."""

    SOUND = "sound"
    FAILS = "fails"
    BREAKS = "breaks"
    """Answers end before they are whole."""
    REFUSES = "refuses"
    SLOW = "slow"


def mode_path(folder):
    """Return the path of the file with the :class:`TargetMode` of all targets."""
    return Path(folder) / "target-mode"


def arrivals_path(folder, name):
    """Return the path of the file in which a target records arrivals."""
    return Path(folder) / f"{name}.arrivals"


def read_arrivals(folder, name):
    """Return the recorded :class:`~soak.retry_checks.Arrival` list of a target."""
    path = arrivals_path(folder, name)
    if not path.exists():
        return []
    arrivals = []
    for line in path.read_text().splitlines():
        at, attempt_id, budget_ms, has_run = line.split()
        time_budget_s = int(budget_ms) / MS_PER_S
        has_run = has_run == str(True)
        arrivals.append(Arrival(float(at), attempt_id, name, time_budget_s, has_run))
    return arrivals


class _Target:
    """Answers requests of any path.

    :param name: name of the target.
    :param folder: folder of the run.
    """

    def __init__(self, name, folder):
        self._name = name
        self._mode_path = mode_path(folder)
        self._arrivals = arrivals_path(folder, name).open("a", buffering=1)

    async def handle(self, request):
        """Record a request and answer it as the mode says."""
        attempt_id = request.headers["x-attempt-id"]
        now = asyncio.get_running_loop().time()
        mode = TargetMode(self._mode_path.read_text())
        budget_ms = request.headers["x-time-budget-ms"]
        has_run = mode is not TargetMode.REFUSES
        self._arrivals.write(f"{now} {attempt_id} {budget_ms} {has_run}\n")
        headers = {"x-attempt-id": attempt_id}
        if mode is TargetMode.FAILS:
            return Response(status_code=FAILURE_STATUS, headers=headers)
        if mode is TargetMode.REFUSES:
            head = not_executed_head(REFUSAL_STATUS)
            proof = {name.decode(): value.decode() for name, value in head.headers}
            return Response(status_code=head.status, headers=headers | proof)
        headers["x-response-seal"] = self._name
        if request.method == "POST":
            return self._stream(request, mode, headers)
        await asyncio.sleep(
            SLOW_EXECUTION_S if mode is TargetMode.SLOW else EXECUTION_S
        )
        if mode is TargetMode.BREAKS:
            return StreamingResponse(_broken_body(), headers=headers)
        return Response(b"done", headers=headers)

    def _stream(self, request, mode, headers):
        resumed_after = int(request.headers.get("last-event-id", 0))

        async def produce():
            for number in range(resumed_after + 1, EVENT_COUNT + 1):
                await asyncio.sleep(EVENT_INTERVAL_S)
                is_broken = number > resumed_after + EVENTS_BEFORE_BREAK
                if mode is TargetMode.BREAKS and is_broken:
                    raise ConnectionResetError("the answer breaks off")
                yield f"id: {number}\ndata: {number}\n\n"

        return StreamingResponse(
            produce(), headers=headers, media_type="text/event-stream"
        )


async def _broken_body():
    yield b"do"
    raise ConnectionResetError("the answer breaks off")


async def _serve(name, address, folder):
    target = _Target(name, folder)
    path = Route("/{kind}/{name}", target.handle, methods=["GET", "POST"])
    server = WebServer(Starlette(routes=[path]), address)
    await server.start()
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(_serve(*sys.argv[1:]))
