"""Latency and processor time that a gateway adds to answers streamed by an engine.

Calls through the gateway and to the engine are measured alternately in the same run, at
rising concurrency. The processor time of the gateway for each request and token is
derived from answers of two lengths.

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
ANSWER_TOKENS = 64
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
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def cpu_s(process):
    """Return the processor time that a process has used, in seconds."""
    with open(f"/proc/{process.pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


async def stream_from_engine(session, address, spec, body, attempt):
    """Stream an answer from an engine; return the start and the times of its events."""
    headers = {
        "x-request": "r",
        "x-attempt": f"direct-{attempt}",
        "x-group": spec["group"],
        "x-epoch": str(spec["epoch"]),
    }
    started_s, event_times_s = time.perf_counter(), []
    async with session.post(
        f"{address}/generate", data=body, headers=headers
    ) as response:
        buffer = b""
        async for chunk in response.content.iter_any():
            received_s = time.perf_counter()
            *events, buffer = (buffer + chunk).split(b"\n\n")
            event_times_s += [received_s] * sum(
                b"[DONE]" not in event for event in events
            )
    return started_s, event_times_s


async def stream_through_gateway(caller, url, body):
    """Stream an answer through the gateway."""
    answer = await caller.chat(url, body)
    assert answer.complete, answer
    return answer


def print_latencies(
    path, concurrency, first_token_s, token_gaps_s, duration_s, core_fraction
):
    """Print one line of measured values; return percentiles of latencies in ms."""
    first_token_ms = np.percentile(np.array(first_token_s) * 1000, (50, 95, 99))
    token_gap_ms = np.percentile(np.array(token_gaps_s) * 1000, (50, 95, 99))
    requests_per_s = concurrency * ROUNDS / duration_s
    print(
        f"{path:8} {concurrency:4} "
        f"first p50/95/99 {first_token_ms[0]:6.1f} {first_token_ms[1]:6.1f} "
        f"{first_token_ms[2]:6.1f} "
        f"gap {token_gap_ms[0]:5.1f} {token_gap_ms[1]:5.1f} {token_gap_ms[2]:5.1f} "
        f"req/s {requests_per_s:6.1f} tok/s {requests_per_s * ANSWER_TOKENS:8.0f} "
        f"gateway cpu {core_fraction:4.0%}",
        flush=True,
    )
    return first_token_ms, token_gap_ms


async def measure_paths(site):
    """Print the latencies of both paths and their differences by concurrency."""
    url = site.urls["g1"]
    body = chat_body("what is due next " * 8, max_tokens=ANSWER_TOKENS)
    engines = site.get("platform", "/control/engines")
    lead_engines = [(name, engines[name]) for name in ("a1", "b1")]
    connector = aiohttp.TCPConnector(limit=0)
    process = site.processes["g1"]
    async with (
        Caller(KEY) as caller,
        aiohttp.ClientSession(connector=connector) as session,
    ):
        await asyncio.gather(
            *(stream_through_gateway(caller, url, body) for _ in range(8))
        )
        for concurrency in CONCURRENCY:
            percentiles_ms = {}
            for path in ("direct", "gateway"):
                first_token_s, token_gaps_s = [], []
                started_s, cpu_before_s = time.perf_counter(), cpu_s(process)
                for round_number in range(ROUNDS):
                    if path == "direct":
                        calls = [
                            stream_from_engine(
                                session,
                                site.urls["platform"] + f"/vm/{lead_engines[i % 2][0]}",
                                lead_engines[i % 2][1],
                                body,
                                f"{round_number}-{i}",
                            )
                            for i in range(concurrency)
                        ]
                        for request_started_s, event_times_s in await asyncio.gather(
                            *calls
                        ):
                            first_token_s.append(event_times_s[0] - request_started_s)
                            token_gaps_s += list(np.diff(event_times_s))
                    else:
                        calls = [
                            stream_through_gateway(caller, url, body)
                            for _ in range(concurrency)
                        ]
                        for answer in await asyncio.gather(*calls):
                            first_token_s.append(answer.first_token_s)
                            token_gaps_s += answer.gaps_s
                duration_s = time.perf_counter() - started_s
                core_fraction = (cpu_s(process) - cpu_before_s) / duration_s
                percentiles_ms[path] = print_latencies(
                    path,
                    concurrency,
                    first_token_s,
                    token_gaps_s,
                    duration_s,
                    core_fraction,
                )
            added_ms = percentiles_ms["gateway"][0] - percentiles_ms["direct"][0]
            gap_ratio = percentiles_ms["gateway"][1] / percentiles_ms["direct"][1]
            print(
                f"{'added':8} {concurrency:4} first token "
                f"{added_ms[0]:+.1f} {added_ms[1]:+.1f} {added_ms[2]:+.1f} ms, "
                f"gap ratio {gap_ratio[0]:.2f} {gap_ratio[1]:.2f} {gap_ratio[2]:.2f}"
            )
        await measure_cpu_costs(site, caller, url)


async def measure_cpu_costs(site, caller, url):
    """Print the processor time of the gateway for each request and each token."""
    process = site.processes["g1"]
    idle_before_s = cpu_s(process)
    await asyncio.sleep(5)
    idle_core_fraction = (cpu_s(process) - idle_before_s) / 5
    cpu_s_per_request = {}
    for tokens in (8, 200):
        body = chat_body("what is due next " * 8, max_tokens=tokens)
        request_count = 320
        started_s, cpu_before_s = time.perf_counter(), cpu_s(process)
        for _ in range(request_count // 64):
            await asyncio.gather(
                *(stream_through_gateway(caller, url, body) for _ in range(64))
            )
        duration_s = time.perf_counter() - started_s
        cpu_s_per_request[tokens] = (
            cpu_s(process) - cpu_before_s - idle_core_fraction * duration_s
        ) / request_count
    token_cpu_s = (cpu_s_per_request[200] - cpu_s_per_request[8]) / 192
    request_cpu_s = cpu_s_per_request[8] - 8 * token_cpu_s
    print(
        f"gateway idle {idle_core_fraction:.1%} of a core; "
        f"{request_cpu_s * 1e3:.2f} ms per request, "
        f"{token_cpu_s * 1e6:.0f} us per token: {1 / request_cpu_s:.0f} requests/s or "
        f"{1 / token_cpu_s:.0f} tokens/s per core"
    )


def main():
    """Start a site and print all measurements."""
    with LocalSite(SHAPE) as site:
        site.cli("apply", "demo/configuration")
        site.wait_for_groups(4)
        site.wait_for_model("g1", KEY, "draft-large")
        asyncio.run(measure_paths(site))


if __name__ == "__main__":
    main()
