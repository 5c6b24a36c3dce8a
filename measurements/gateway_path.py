"""What a gateway adds to a streamed answer, against calling the engine directly.

Both ways are measured in the same run, turn by turn, at rising concurrency. The
gateway's processor time for each request and token comes from two lengths of answers.

Run: ``.venv/bin/python -m measurements.gateway_path``
"""

import asyncio
import os
import time

import aiohttp
import numpy as np

from harness import Caller, LocalSite, SiteShape, VmShape
from harness.callers import chat_body

CONCURRENCY = (1, 8, 32, 64, 128)
TOKENS = 64
ROUNDS = 3
KEY = "key-of-crew-leads"
STATIONS = {"pool": "large", "site": "stations"}
ROSTER = {"pool": "small", "site": "stations"}
APRON = {"pool": "large", "site": "apron"}
TUGS = {"pool": "small", "site": "apron"}
SHAPE = SiteShape(
    gateways=("dc1",),
    controllers=("dc1",),
    vms=(
        VmShape("a", 3, "da", labels=STATIONS),
        VmShape("b", 3, "db", labels=STATIONS),
        VmShape("r", 1, "da", kind="service", labels=ROSTER),
        VmShape("e", 4, "de", labels=APRON),
        VmShape("t", 1, "de", kind="service", labels=TUGS),
    ),
    engine={"token_s": 0.02, "batch_limit": 256},
    log_level="warning",
)
TICK = os.sysconf("SC_CLK_TCK")


def cpu_s(process):
    """Return the processor time that a process has used."""
    with open(f"/proc/{process.pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICK


async def direct(session, address, spec, body, number):
    """Stream an answer from the engine itself; returns the times of its events."""
    headers = {
        "x-request": "r",
        "x-attempt": f"direct-{number}",
        "x-group": spec["group"],
        "x-epoch": str(spec["epoch"]),
    }
    started, times = time.perf_counter(), []
    async with session.post(
        f"{address}/generate", data=body, headers=headers
    ) as response:
        rest = b""
        async for piece in response.content.iter_any():
            at = time.perf_counter()
            *events, rest = (rest + piece).split(b"\n\n")
            times += [at] * sum(b"[DONE]" not in event for event in events)
    return started, times


async def through(caller, url, body):
    """Stream an answer through the gateway."""
    answer = await caller.chat(url, body)
    assert answer.complete, answer
    return answer


def show(name, concurrency, firsts, gaps, took_s, cpu):
    """Print one line of figures, in milliseconds."""
    first = np.percentile(np.array(firsts) * 1000, (50, 95, 99))
    gap = np.percentile(np.array(gaps) * 1000, (50, 95, 99))
    rate = concurrency * ROUNDS / took_s
    print(
        f"{name:8} {concurrency:4} first p50/95/99 {first[0]:6.1f} {first[1]:6.1f} "
        f"{first[2]:6.1f} gap {gap[0]:5.1f} {gap[1]:5.1f} {gap[2]:5.1f} "
        f"req/s {rate:6.1f} tok/s {rate * TOKENS:8.0f} gateway cpu {cpu:4.0%}",
        flush=True,
    )
    return first, gap


async def measure(site):
    """Measure both ways and print ratios."""
    url = site.urls["g1"]
    body = chat_body("what is due next " * 8, max_tokens=TOKENS)
    engines = site.get("platform", "/control/engines")
    leads = [(name, engines[name]) for name in ("a1", "b1")]
    connector = aiohttp.TCPConnector(limit=0)
    process = site.processes["g1"]
    async with (
        Caller(KEY) as caller,
        aiohttp.ClientSession(connector=connector) as http,
    ):
        await asyncio.gather(*(through(caller, url, body) for _ in range(8)))
        for concurrency in CONCURRENCY:
            shown = {}
            for way in ("direct", "gateway"):
                firsts, gaps = [], []
                started, cpu = time.perf_counter(), cpu_s(process)
                for turn in range(ROUNDS):
                    if way == "direct":
                        calls = [
                            direct(
                                http,
                                site.urls["platform"] + f"/vm/{leads[i % 2][0]}",
                                leads[i % 2][1],
                                body,
                                f"{turn}-{i}",
                            )
                            for i in range(concurrency)
                        ]
                        for began, times in await asyncio.gather(*calls):
                            firsts.append(times[0] - began)
                            gaps += list(np.diff(times))
                    else:
                        calls = [through(caller, url, body) for _ in range(concurrency)]
                        for answer in await asyncio.gather(*calls):
                            firsts.append(answer.first_token_s)
                            gaps += answer.gaps_s
                took_s = time.perf_counter() - started
                used = (cpu_s(process) - cpu) / took_s
                shown[way] = show(way, concurrency, firsts, gaps, took_s, used)
            added = shown["gateway"][0] - shown["direct"][0]
            gap_ratio = shown["gateway"][1] / shown["direct"][1]
            print(
                f"{'added':8} {concurrency:4} first token "
                f"{added[0]:+.1f} {added[1]:+.1f} {added[2]:+.1f} ms, "
                f"gap ratio {gap_ratio[0]:.2f} {gap_ratio[1]:.2f} {gap_ratio[2]:.2f}"
            )
        await slopes(site, caller, url)


async def slopes(site, caller, url):
    """Processor time of the gateway for each request and each token."""
    process = site.processes["g1"]
    idle = cpu_s(process)
    await asyncio.sleep(5)
    idle_share = (cpu_s(process) - idle) / 5
    costs = {}
    for tokens in (8, 200):
        body = chat_body("what is due next " * 8, max_tokens=tokens)
        requests = 320
        started, cpu = time.perf_counter(), cpu_s(process)
        for _ in range(requests // 64):
            await asyncio.gather(*(through(caller, url, body) for _ in range(64)))
        took_s = time.perf_counter() - started
        costs[tokens] = (cpu_s(process) - cpu - idle_share * took_s) / requests
    token_s = (costs[200] - costs[8]) / 192
    request_s = costs[8] - 8 * token_s
    print(
        f"gateway idle {idle_share:.1%} of a core; {request_s * 1e3:.2f} ms a request, "
        f"{token_s * 1e6:.0f} us a token: {1 / request_s:.0f} requests/s or "
        f"{1 / token_s:.0f} tokens/s a core"
    )


def main():
    """Start a site, measure, stop."""
    with LocalSite(SHAPE) as site:
        site.cli("apply", "demo/configuration")
        site.wait_for_groups(4)
        site.wait_for_model("g1", KEY, "draft-large")
        asyncio.run(measure(site))


if __name__ == "__main__":
    main()
