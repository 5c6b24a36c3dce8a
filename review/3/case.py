"""A server leaves just before the store is away; no machine may go on using it."""

import asyncio
import sys
from pathlib import Path

from standins import BOUNDS, ZONES, Client, route, run_case

KEY = "n2ctnfzs989anu6wsjnb"
SERVICE = "registre"
LEAVING = "i-3"
CONTACT_S = BOUNDS["contactMs"] / 1000
DRAIN_S = BOUNDS["drainMs"] / 1000
OUTAGE_S = 3.0
OBSERVED_S = 6.0
"""Time after the machines are in touch again until the server that left exits."""
AFTER_EXIT_S = 2.0
WORK_S = 0.045
"""Work of a request, and time between the events of a stream."""
PATHS = ("/hall/status", "/notice/stream/27")
"""Requests that may run once only: a look-up, and a stream that can't be resumed."""
SEND_INTERVAL_S = 0.1
DAEMON_ZONES = (ZONES[0], ZONES[0], ZONES[0], ZONES[1], ZONES[1])


async def _send_all(site, daemon, path, sent):
    """Send requests on a kept connection until cancelled."""
    client = Client(daemon.address("front"), site.record)
    loop = asyncio.get_running_loop()
    while True:
        attempt_id = Client.new_id()
        sent[attempt_id] = daemon.name, loop.time(), None
        answer = await client.send("POST", path, KEY, 6.0, attempt_id)
        status = answer.status if answer.is_complete else "cut"
        sent[attempt_id] = daemon.name, sent[attempt_id][1], status
        await asyncio.sleep(SEND_INTERVAL_S)


async def case(site, has_trouble):
    """Return whether no request reached the server that had left."""
    loop = asyncio.get_running_loop()
    servers = [await site.add_server(f"i-{n}", SERVICE, WORK_S) for n in (1, 2, 3)]
    routes = [
        route("hall-status", "/hall/", "non_idempotent", SERVICE, maxAttempts=1),
        route("notice", "/notice/", "streaming", SERVICE, maxAttempts=1),
    ]
    site.configure(routes, [SERVICE], [{"name": "hule930", "apiKeys": [KEY]}])
    await site.start_daemons(DAEMON_ZONES)
    await asyncio.sleep(CONTACT_S)
    sent = {}
    users = [
        asyncio.create_task(_send_all(site, daemon, path, sent))
        for daemon in site.daemons
        for path in PATHS
    ]
    try:
        await asyncio.sleep(2.0)
        # The server reports nothing before it leaves: its entry is removed, and it
        # serves on for a while.
        site.store.drop("servers", LEAVING)
        left_at = loop.time()
        site.record.add("removal-acknowledged", server=LEAVING)
        if has_trouble:
            site.store.take_down()
            site.record.add("store-down")
        await asyncio.sleep(OUTAGE_S)
        if has_trouble:
            site.store.bring_back()
            site.record.add("store-back")
        in_touch_at = loop.time() + CONTACT_S if has_trouble else left_at
        await asyncio.sleep(CONTACT_S + OBSERVED_S)
        await servers[-1].stop()
        site.record.add("exit-of-server", server=LEAVING)
        await asyncio.sleep(AFTER_EXIT_S)
    finally:
        for user in users:
            user.cancel()
        await asyncio.gather(*users, return_exceptions=True)
    return _judge(site, sent, servers[-1], max(left_at + DRAIN_S, in_touch_at))


def _judge(site, sent, server, due_at):
    if not any(status == 200 for _, _, status in sent.values()):
        raise RuntimeError("no request was served")
    late_runs = [run for run in server.runs if sent[run.attempt_id][1] > due_at]
    for run in late_runs:
        daemon, sent_at, status = sent[run.attempt_id]
        site.record.add(
            "DRAIN",
            id=run.attempt_id,
            daemon=daemon,
            late_s=f"{sent_at - due_at:.2f}",
            status=status,
        )
    by_daemon = {daemon.name: 0 for daemon in site.daemons}
    for run in late_runs:
        by_daemon[sent[run.attempt_id][0]] += 1
    cut = sum(sent[run.attempt_id][2] != 200 for run in late_runs)
    site.record.add(
        "result", sent=len(sent), late_runs=len(late_runs), cut=cut, **by_daemon
    )
    return not late_runs


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).parent))
