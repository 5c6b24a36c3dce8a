"""A sound server falls silent for a second; streams must go on where they run."""

import asyncio
import signal
import sys
from pathlib import Path

from standins import BOUNDS, Client, route, run_case

KEY = "n2ctnfzs989anu6wsjnb"
SERVICE = "redacteur"
CONTACT_S = BOUNDS["contactMs"] / 1000
APPLY_S = BOUNDS["applyMs"] / 1000
EVENT_S = 0.06
"""Time between events: five token steps of a full batch on the small sheets."""
EVENTS = 27
"""Events of a mean answer on the small sheets."""
BUDGET_S = 8.0
"""The clients' deadline and the routes' timeout, which excuse."""
CLIENTS_PER_PATH = 4
SEND_INTERVAL_S = 0.1
SILENT_AT_S = (0.8, 1.4)
"""Seconds after SIGHUP at which the servers fall silent, one after the other."""
SILENT_S = 1.0
PATHS = (f"/round/stream/{EVENTS}", f"/notice/stream/{EVENTS}")
"""Streams that may be resumed at another server, and streams that may not."""


async def _send_stream(client, path, reload_at, after_s):
    """Send a stream on an open connection some seconds after SIGHUP."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(reload_at + after_s - loop.time())
    attempt_id, sent_s = Client.new_id(), loop.time() - reload_at
    answer = await client.send("POST", path, KEY, BUDGET_S, attempt_id, b"prompt")
    return attempt_id, path, sent_s, loop.time() - reload_at, answer


async def _fall_silent(server, reload_at, after_s):
    await asyncio.sleep(reload_at + after_s - asyncio.get_running_loop().time())
    await server.fall_silent(SILENT_S)


async def case(site, has_trouble):
    """Return whether all streams were answered whole."""
    loop = asyncio.get_running_loop()
    servers = [
        await site.add_server(f"i-{number}", SERVICE, EVENT_S) for number in (1, 2)
    ]
    routes = [
        route("round-sheet", "/round/", "streaming", SERVICE, resumable=True),
        route("notice", "/notice/", "streaming", SERVICE, maxAttempts=1),
    ]
    site.configure(routes, [SERVICE], [{"name": "hule930", "apiKeys": [KEY]}])
    await site.start_daemons()
    await asyncio.sleep(CONTACT_S)
    daemon = site.daemons[0]
    clients = []
    for path in PATHS:
        for _ in range(CLIENTS_PER_PATH):
            client = Client(daemon.address("front"), site.record)
            clients.append((client, path))
            await client.send("POST", path, KEY, BUDGET_S, Client.new_id(), b"prompt")
    reload_at = loop.time()
    site.record.add("SIGHUP", daemon=daemon.name)
    daemon.signal(signal.SIGHUP)
    silences = []
    if has_trouble:
        silences = [
            asyncio.create_task(_fall_silent(server, reload_at, after_s))
            for server, after_s in zip(servers, SILENT_AT_S, strict=True)
        ]
    sent = await asyncio.gather(
        *(
            _send_stream(client, path, reload_at, 0.3 + number * SEND_INTERVAL_S)
            for number, (client, path) in enumerate(clients)
        )
    )
    await asyncio.gather(*silences)
    return _judge(site, sent)


def _judge(site, sent):
    running = {run.attempt_id for run in site.runs()}
    lost = 0
    for attempt_id, path, sent_s, ended_s, answer in sent:
        if answer.is_complete and answer.status == 200:
            continue
        is_reloading = sent_s <= APPLY_S
        is_passed_on = attempt_id in running
        is_cut = not answer.is_complete
        is_over = ended_s - sent_s >= BUDGET_S
        is_lost = is_cut and is_reloading and is_passed_on and not is_over
        lost += is_lost
        site.record.add(
            "LOST" if is_lost else "not-served",
            id=attempt_id,
            path=path,
            sent_after_SIGHUP_s=f"{sent_s:.2f}",
            ended_after_SIGHUP_s=f"{ended_s:.2f}",
            status=answer.status,
            events=answer.body.count(b"\n\n"),
        )
    site.record.add("result", sent=len(sent), lost=lost)
    return not lost


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).parent))
