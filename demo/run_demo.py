"""A whole site on loopback: two deployments' shapes, real requests, one dead VM."""

import asyncio
import statistics
import sys
import time
from pathlib import Path

from harness import Caller, LocalSite, SiteShape, VmShape
from harness.callers import chat_body

CONFIGURATION = Path(__file__).parent / "configuration"
ATLAS_KEY, INCHEON_KEY = "key-of-crew-leads", "key-of-ramp-control"
STREAMS = 40
COME_BACK_FOR_S = 10.0
"""Time for which callers come back when they are told to."""
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


def say(text):
    """Print one line at once."""
    print(text, flush=True)


async def ask(caller, url, body):
    """Ask until it is answered, coming back when told to, as callers do."""
    until = time.perf_counter() + COME_BACK_FOR_S
    while True:
        answer = await caller.chat(url, body)
        told_s = (answer.problem or {}).get("retry_after_s")
        if answer.complete or told_s is None or time.perf_counter() > until:
            return answer
        await asyncio.sleep(told_s)


async def show_requests(site):
    """Ask for addresses, stream answers and book once, for both deployments."""
    wishes = (
        (ATLAS_KEY, "draft-large", "Which hall is due next?", "roster", "book"),
        (INCHEON_KEY, "pushback-large", "Sequence for stand 12?", "apron", "assign"),
    )
    for key, model, question, service, operation in wishes:
        async with Caller(key) as caller:
            told = await caller.addresses(site.urls["g2"])
            url = told["addresses"][0]
            body = chat_body(question, model)
            answers = await asyncio.gather(
                *(ask(caller, url, body) for _ in range(STREAMS))
            )
            complete = [answer for answer in answers if answer.complete]
            if not complete:
                raise RuntimeError(f"no whole answer from {url}: {answers[0].problem}")
            first_ms = sorted(answer.first_token_s * 1000 for answer in complete)
            gaps_ms = [gap * 1000 for answer in complete for gap in answer.gaps_s]
            say(f"  {model}: {len(complete)} of {STREAMS} whole answers from {url}")
            say(
                f"    first token p50 {first_ms[len(first_ms) // 2]:.0f} ms, "
                f"between tokens mean {statistics.mean(gaps_ms):.1f} ms"
            )
            say(f"    {complete[0].text.strip()!r}")
            repeated = {"idempotency-key": told["key_prefix"] + "demo"}
            for name in site.gateway_names:
                booked = await caller.call(
                    site.urls[name], service, operation, {"n": 1}, repeated
                )
                again = (
                    "remembered" if "cowslip-remembered" in booked.headers else "run"
                )
                say(f"    {service}/{operation} at {name}: {booked.text} ({again})")


async def lose_a_vm(site):
    """Kill one member under load and watch its group come back."""
    group = next(g for g in site.status()["groups"] if g["declaration"] == "drafting")
    victim = group["members"][1]
    async with Caller(ATLAS_KEY) as caller:
        url = site.urls["g1"]
        load = [
            asyncio.create_task(
                ask(caller, url, chat_body(f"round {i}", max_tokens=60))
            )
            for i in range(STREAMS)
        ]
        await asyncio.sleep(0.4)
        say(f"  {victim} of {group['group']} dies under {STREAMS} streams")
        died = time.perf_counter()
        await asyncio.to_thread(site.set_faults, victim, dead=True)
        down = back = None
        while back is None and time.perf_counter() - died < 60:
            await asyncio.sleep(0.1)
            status = await asyncio.to_thread(site.status)
            found = [g for g in status["groups"] if g["group"] == group["group"]]
            serving = bool(found) and found[0]["serving"]
            if down is None and not serving:
                down = time.perf_counter() - died
            if down is not None and serving:
                back = time.perf_counter() - died
        answers = await asyncio.gather(*load)
    complete = sum(answer.complete for answer in answers)
    say(
        f"  not serving after {down:.1f} s, serving again after {back:.1f} s, "
        f"now with {', '.join(found[0]['members'])}"
    )
    say(f"  {complete} of {STREAMS} streams still got their whole answer")


def run(site):
    """Run the demo on a started site."""
    say("\n1. Operators label and declare by selectors")
    done = site.cli("apply", str(CONFIGURATION))
    say("  " + done.stdout.strip().splitlines()[-1])
    started = time.perf_counter()
    site.wait_for_groups(4)
    took_s = time.perf_counter() - started
    say(f"  4 groups formed, loaded and serving after {took_s:.1f} s")
    say("\n2. Callers ask which address to use, stream answers, book once")
    asyncio.run(show_requests(site))
    say("\n3. A member dies")
    asyncio.run(lose_a_vm(site))
    say("\n4. A careless edit is caught before it cuts anything")
    done = site.cli("delete", "group", "dispatch", check=False)
    say("  $ cowslip delete group dispatch")
    for line in (done.stdout + done.stderr).strip().splitlines():
        say(f"  {line}")
    say("\n5. What an operator sees")
    for line in site.cli("status", check=False).stdout.splitlines():
        say(f"  {line}")


def main():
    """Start the site, run the demo and end every process."""
    say("Starting a stand-in, 3 gateways and 3 controllers on loopback ...")
    with LocalSite(SHAPE) as site:
        run(site)
    say("\nAll processes have ended. Next: docs/index.md, or scripts/test.")
    return 0


if __name__ == "__main__":
    sys.exit(main())
