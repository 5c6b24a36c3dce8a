"""All keys of the only tenant are taken away; nobody may be served without a key."""

import asyncio
import sys
from pathlib import Path

from standins import BOUNDS, Client, route, run_case

KEYS = ("n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk")
NEVER_HELD = "never-held-by-any-config"
TENANT = "hule930"
SERVICE = "registre"
APPLY_S = BOUNDS["applyMs"] / 1000
CONTACT_S = BOUNDS["contactMs"] / 1000
REVOKE_GAP_S = 1.5
OBSERVED_S = 5.0
"""Time after the last bound during which requests go on."""
SEND_INTERVAL_S = 0.25


def _configure(site, keys):
    routes = [
        route("hall-status", "/hall/", "non_idempotent", SERVICE, maxAttempts=1),
        route("crew-roster", "/crew/", "idempotent", SERVICE),
    ]
    tenants = [{"name": TENANT, "apiKeys": list(keys), "priority": 1}]
    site.configure(routes, [SERVICE], tenants)


async def _use_key(site, daemon, key, sent):
    """Send requests with a key on a kept connection until cancelled."""
    client = Client(daemon.address("front"), site.record)
    loop = asyncio.get_running_loop()
    while True:
        for method, path in (("POST", "/hall/status"), ("GET", "/crew/roster")):
            attempt_id = Client.new_id()
            sent[attempt_id] = key, loop.time()
            answer = await client.send(method, path, key, 2.5, attempt_id)
            sent[attempt_id] = (*sent[attempt_id], answer.status)
            await asyncio.sleep(SEND_INTERVAL_S)


async def case(site, has_trouble):
    """Return whether only requests with a key in force were run."""
    loop = asyncio.get_running_loop()
    for number in (1, 2):
        await site.add_server(f"i-{number}", SERVICE)
    _configure(site, KEYS)
    await site.start_daemons()
    await asyncio.sleep(CONTACT_S)
    sent, revoked_at = {}, {}
    users = [
        asyncio.create_task(_use_key(site, daemon, key, sent))
        for daemon in site.daemons
        for key in (*KEYS, NEVER_HELD)
    ]
    try:
        await asyncio.sleep(2.0)
        for number, key in enumerate(KEYS, start=1):
            if has_trouble:
                _configure(site, KEYS[number:])
                revoked_at[key] = loop.time()
                site.record.add("key-taken-away", key=key)
            await asyncio.sleep(REVOKE_GAP_S)
        await asyncio.sleep(APPLY_S + OBSERVED_S)
    finally:
        for user in users:
            user.cancel()
        await asyncio.gather(*users, return_exceptions=True)
    return _judge(site, sent, revoked_at)


def _judge(site, sent, revoked_at):
    if not any(len(each) > 2 and each[2] == 200 for each in sent.values()):
        raise RuntimeError("no request was served")
    unknown, revoked = 0, 0
    for run in site.runs():
        key, sent_at, *_ = sent[run.attempt_id]
        if key == NEVER_HELD:
            unknown += 1
            site.record.add("ROUTE", id=run.attempt_id, key=key, tenant=run.tenant)
        elif key in revoked_at and sent_at > revoked_at[key] + APPLY_S:
            revoked += 1
            late_s = sent_at - revoked_at[key]
            site.record.add(
                "CONFIG", id=run.attempt_id, key=key, late_s=f"{late_s:.2f}"
            )
    site.record.add(
        "result",
        sent=len(sent),
        runs_with_unknown_key=unknown,
        runs_with_revoked_key=revoked,
    )
    return not unknown and not revoked


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).parent))
