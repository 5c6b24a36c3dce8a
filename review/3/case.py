"""A machine gets SIGTERM; the streams that it still accepts must be answered whole."""

import asyncio
import signal
import sys
from pathlib import Path
from typing import NamedTuple

from standins import BOUNDS, Client, route, run_case

KEY = "n2ctnfzs989anu6wsjnb"
SERVICE = "redacteur"
GRACE_S = BOUNDS["graceS"]
CONTACT_S = BOUNDS["contactMs"] / 1000
EXCUSED_SENT_S = 3.0
"""Requests sent no later after SIGTERM are excused if their engine works that long."""
LAST_SIXTH_S = GRACE_S * 5 / 6
EVENT_S = 0.06
"""Time between events: five token steps of a full batch on the small sheets."""
USUAL_EVENTS = (5, 27)
"""Events of a summary and of a mean answer on the small sheets."""
MOST_EVENTS = 67
"""Events of the longest answer on the small sheets."""
BUDGET_S = 8.0
"""The clients' deadline and the routes' timeout, which excuse."""
LONG_SENT_S = (3.4, 3.5, 3.6, 3.7)
"""Seconds after SIGTERM at which clients use their open connections."""
ROUTES = ("/round/", "/notice/")


class Sent(NamedTuple):
    """A request to the machine that is stopped, and its answer.

    :param attempt_id: id of the attempt.
    :param after_s: seconds from SIGTERM to the sending of the request.
    :param ended_s: seconds from SIGTERM to the end of the answer.
    :param answer: the answer.
    """

    attempt_id: str
    after_s: float
    ended_s: float
    answer: object


async def _stream(client, prefix, events):
    attempt_id = Client.new_id()
    path = f"{prefix}stream/{events}"
    answer = await client.send("POST", path, KEY, BUDGET_S, attempt_id, b"prompt")
    return attempt_id, answer


async def _use_after(client, prefix, events, stopped_at, after_s):
    """Send a stream on an open connection some seconds after SIGTERM."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(stopped_at + after_s - loop.time())
    sent_at = loop.time()
    attempt_id, answer = await _stream(client, prefix, events)
    ended_s = loop.time() - stopped_at
    return Sent(attempt_id, sent_at - stopped_at, ended_s, answer)


async def _stop_like_platform(daemon, record):
    """Send SIGTERM, and SIGKILL after the grace period."""
    record.add("SIGTERM", daemon=daemon.name)
    daemon.signal(signal.SIGTERM)
    await asyncio.sleep(GRACE_S)
    if daemon.process.poll() is None:
        record.add("SIGKILL", daemon=daemon.name)
        daemon.signal(signal.SIGKILL)


async def _warm_up(site, daemon):
    """Return clients whose connections are open after a few usual answers."""
    clients = {
        (prefix, after_s): Client(daemon.address("front"), site.record)
        for prefix in ROUTES
        for after_s in (2.6, *LONG_SENT_S)
    }
    for (prefix, _), client in clients.items():
        for events in USUAL_EVENTS:
            _, answer = await _stream(client, prefix, events)
            if answer.status != 200 or not answer.is_complete:
                raise RuntimeError("no answer in the calm")
    return clients


async def case(site, has_trouble):
    """Return whether no accepted stream was cut."""
    loop = asyncio.get_running_loop()
    for number in (1, 2):
        await site.add_server(f"i-{number}", SERVICE, EVENT_S)
    routes = [
        route("round-sheet", "/round/", "streaming", SERVICE, resumable=True),
        route("notice", "/notice/", "streaming", SERVICE, maxAttempts=1),
    ]
    site.configure(routes, [SERVICE], [{"name": "hule930", "apiKeys": [KEY]}])
    await site.start_daemons()
    await asyncio.sleep(CONTACT_S)
    daemon = site.daemons[0]
    clients = await _warm_up(site, daemon)
    stopped_at = loop.time()
    stopping = None
    if has_trouble:
        stopping = asyncio.create_task(_stop_like_platform(daemon, site.record))
    sent = await asyncio.gather(
        *(
            _use_after(
                client,
                prefix,
                MOST_EVENTS if after_s in LONG_SENT_S else USUAL_EVENTS[-1],
                stopped_at,
                after_s,
            )
            for (prefix, after_s), client in clients.items()
        )
    )
    if stopping is not None:
        await stopping
    return _judge(site, sent, has_trouble)


def _judge(site, sent, has_trouble):
    running = {run.attempt_id for run in site.runs()}
    lost = 0
    for request in sent:
        answer = request.answer
        if answer.is_complete:
            continue
        is_passed_on = request.attempt_id in running
        is_planned = has_trouble and request.ended_s <= GRACE_S + 1.0
        is_over = request.ended_s - request.after_s >= BUDGET_S
        is_excused = (
            request.after_s <= EXCUSED_SENT_S and request.ended_s >= LAST_SIXTH_S
        )
        if is_planned and is_passed_on and not is_over and not is_excused:
            lost += 1
            site.record.add(
                "LOST",
                id=request.attempt_id,
                sent_after_SIGTERM_s=f"{request.after_s:.2f}",
                cut_after_SIGTERM_s=f"{request.ended_s:.2f}",
                status=answer.status,
                events=answer.body.count(b"\n\n"),
            )
    site.record.add("result", sent=len(sent), lost=lost)
    return not lost


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).parent))
