"""Demo of a site on loopback: two deployments, requests over HTTP and a failed VM."""

import asyncio
import statistics
import sys
import time
from pathlib import Path

from harness import Caller, LocalSite, SiteShape, VmShape
from harness.callers import chat_body

CONFIGURATION = Path(__file__).parent / "configuration"
ATLAS_KEY, INCHEON_KEY = "key-of-crew-leads", "key-of-ramp-control"
STREAM_COUNT = 40
RETRY_WINDOW_S = 10.0
"""Time for which callers retry refused requests."""
SHAPE = SiteShape(
    gateways=("dc1", "dc2", "dc3"),
    controllers=("dc1", "dc2", "dc3"),
    vms=(
        VmShape(
            "stations-a",
            4,
            "dc1-a",
            "dc1",
            labels={"pool": "large", "site": "stations"},
        ),
        VmShape(
            "stations-b",
            4,
            "dc2-a",
            "dc2",
            labels={"pool": "large", "site": "stations"},
        ),
        VmShape(
            "roster",
            2,
            "dc1-a",
            "dc1",
            "service",
            labels={"pool": "small", "site": "stations"},
        ),
        VmShape(
            "apron-a", 5, "dc3-a", "dc3", labels={"pool": "large", "site": "apron"}
        ),
        VmShape(
            "tugs",
            2,
            "dc3-a",
            "dc3",
            "service",
            labels={"pool": "small", "site": "apron"},
        ),
    ),
    time={"address_ttl_s": 2.0},
)


def print_line(text):
    """Print one line and flush it."""
    print(text, flush=True)


async def chat_with_retries(caller, url, body):
    """Send a model request, with retries at the times that the answers tell."""
    retry_end_s = time.perf_counter() + RETRY_WINDOW_S
    while True:
        answer = await caller.chat(url, body)
        retry_after_s = (answer.problem or {}).get("retry_after_s")
        if (
            answer.complete
            or retry_after_s is None
            or time.perf_counter() > retry_end_s
        ):
            return answer
        await asyncio.sleep(retry_after_s)


async def demonstrate_requests(site):
    """Request addresses, stream answers and run one idempotent call per deployment."""
    deployments = (
        (ATLAS_KEY, "draft-large", "Which hall is due next?", "roster", "book"),
        (INCHEON_KEY, "pushback-large", "Sequence for stand 12?", "apron", "assign"),
    )
    for key, model, question, service, operation in deployments:
        async with Caller(key) as caller:
            address_info = await caller.addresses(site.urls["g2"])
            url = address_info["addresses"][0]
            body = chat_body(question, model)
            answers = await asyncio.gather(
                *(chat_with_retries(caller, url, body) for _ in range(STREAM_COUNT))
            )
            completed = [answer for answer in answers if answer.complete]
            if not completed:
                raise RuntimeError(
                    f"no complete answer from {url}: {answers[0].problem}"
                )
            first_token_ms = sorted(answer.first_token_s * 1000 for answer in completed)
            gaps_ms = [gap * 1000 for answer in completed for gap in answer.gaps_s]
            print_line(
                f"  {model}: {len(completed)} of {STREAM_COUNT} "
                f"complete answers from {url}"
            )
            print_line(
                f"    first token p50 "
                f"{first_token_ms[len(first_token_ms) // 2]:.0f} ms, "
                f"between tokens mean {statistics.mean(gaps_ms):.1f} ms"
            )
            print_line(f"    {completed[0].text.strip()!r}")
            idempotency_headers = {
                "idempotency-key": address_info["key_prefix"] + "demo"
            }
            for name in site.gateway_names:
                service_answer = await caller.call(
                    site.urls[name], service, operation, {"n": 1}, idempotency_headers
                )
                execution = (
                    "remembered"
                    if "cowslip-remembered" in service_answer.headers
                    else "run"
                )
                print_line(
                    f"    {service}/{operation} at {name}: "
                    f"{service_answer.text} ({execution})"
                )


async def demonstrate_vm_failure(site):
    """Stop a group member under load and wait until its group serves again."""
    group = next(g for g in site.status()["groups"] if g["declaration"] == "drafting")
    failed_vm = group["members"][1]
    async with Caller(ATLAS_KEY) as caller:
        url = site.urls["g1"]
        calls = [
            asyncio.create_task(
                chat_with_retries(caller, url, chat_body(f"round {i}", max_tokens=60))
            )
            for i in range(STREAM_COUNT)
        ]
        await asyncio.sleep(0.4)
        print_line(
            f"  {failed_vm} of {group['group']} fails under {STREAM_COUNT} streams"
        )
        failed_at_s = time.perf_counter()
        await asyncio.to_thread(site.set_faults, failed_vm, dead=True)
        until_down_s = until_serving_s = None
        while until_serving_s is None and time.perf_counter() - failed_at_s < 60:
            await asyncio.sleep(0.1)
            status = await asyncio.to_thread(site.status)
            current_groups = [
                g for g in status["groups"] if g["group"] == group["group"]
            ]
            serving = bool(current_groups) and current_groups[0]["serving"]
            if until_down_s is None and not serving:
                until_down_s = time.perf_counter() - failed_at_s
            if until_down_s is not None and serving:
                until_serving_s = time.perf_counter() - failed_at_s
        answers = await asyncio.gather(*calls)
    completed_count = sum(answer.complete for answer in answers)
    print_line(
        f"  not serving after {until_down_s:.1f} s, "
        f"serving again after {until_serving_s:.1f} s, "
        f"now with {', '.join(current_groups[0]['members'])}"
    )
    print_line(f"  {completed_count} of {STREAM_COUNT} streams still completed")


def run_demo(site):
    """Run all parts of the demo on a started site."""
    print_line("\n1. Operators label VMs and declare groups by selectors")
    command = site.cli("apply", str(CONFIGURATION))
    print_line("  " + command.stdout.strip().splitlines()[-1])
    started_s = time.perf_counter()
    site.wait_for_groups(4)
    took_s = time.perf_counter() - started_s
    print_line(f"  4 groups formed, loaded and serving after {took_s:.1f} s")
    print_line(
        "\n2. Callers request addresses, stream answers and make idempotent calls"
    )
    asyncio.run(demonstrate_requests(site))
    print_line("\n3. A group member fails")
    asyncio.run(demonstrate_vm_failure(site))
    print_line("\n4. An edit that would take a group out of use by mistake is rejected")
    command = site.cli("delete", "group", "dispatch", check=False)
    print_line("  $ cowslip delete group dispatch")
    for line in (command.stdout + command.stderr).strip().splitlines():
        print_line(f"  {line}")
    print_line("\n5. What an operator sees")
    for line in site.cli("status", check=False).stdout.splitlines():
        print_line(f"  {line}")


def main():
    """Start the site, run the demo and stop all processes."""
    print_line(
        "Starting a stand-in platform, 3 gateways and 3 controllers on loopback ..."
    )
    with LocalSite(SHAPE) as site:
        run_demo(site)
    print_line("\nAll processes have ended. Next: docs/index.md, or scripts/test.")
    return 0


if __name__ == "__main__":
    sys.exit(main())
