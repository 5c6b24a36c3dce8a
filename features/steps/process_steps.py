"""Steps over separate processes under faults."""

import asyncio
import json
import time

from behave import then, when

from cowslipcourse.standin.engine import answer_words
from features.steps.site_steps import CREW_KEY, stream_many
from harness import Caller
from harness.callers import chat_body

SHORT_S = 60


def _members(site, declaration):
    groups = [g for g in site.status()["groups"] if g["declaration"] == declaration]
    return [vm for group in groups for vm in group["members"]]


async def _meanwhile(streams, *actions):
    """Run streams, and blocking actions one after another beside them."""
    running = asyncio.create_task(streams)
    for action in actions:
        await asyncio.sleep(0.2)
        await asyncio.to_thread(action)
    return await running


@when("{number:d} crew leads stream while two members die one after the other")
def step_two_die(context, number):
    site = context.site
    first, second = _members(site, "drafting")[:2]
    context.answers = asyncio.run(
        _meanwhile(
            stream_many(site, number, tokens=60),
            lambda: site.fault(first, dead=True),
            lambda: site.fault(second, dead=True),
        )
    )
    site.vm(first, "restart")
    site.vm(second, "restart")


@then("each answer is whole or says that it is not")
def step_whole_or_told(context):
    for body, answer in context.answers:
        words = "".join(answer_words(body))
        assert words.startswith(answer.text), answer
        assert answer.complete == (answer.text == words), answer
        assert answer.complete or answer.problem is not None, answer


@then("most of the streams were resumed and whole")
def step_most_whole(context):
    complete = sum(answer.complete for _, answer in context.answers)
    assert 2 * complete > len(context.answers), complete


def _holder(site, shard):
    """Return the controller that holds a shard."""
    for name in site.controller_names:
        found = site.get(name, "/v1/status", token="token-of-the-demo-operator")
        if found:
            return found["shards"].get(shard, "").partition("/")[0]
    return ""


@when("the holder of shard {shard} is frozen until another holds it, and wakes")
def step_freeze_holder(context, shard):
    site = context.site
    first = site.wait_for(lambda: _holder(site, shard), "a holder")
    site.freeze(first)
    others = [name for name in site.controller_names if name != first]

    def taken():
        found = site.get(others[0], "/v1/status", token="token-of-the-demo-operator")
        holder = (found or {"shards": {}})["shards"].get(shard, "").partition("/")[0]
        return holder in others

    site.wait_for(taken, "another holder", SHORT_S)
    site.wake(first)


@then("no engine that checks fencing tokens took an old order")
def step_no_old_order(context):
    for events in context.site.history()["vms"].values():
        orders = [event for event in events if event["event"] == "order"]
        fences = [event["fence"] for event in orders if not event["stale"]]
        assert fences == sorted(fences), fences


async def _book_all(site, bookings, gateway_of):
    async with Caller(CREW_KEY) as caller:
        tasks = [
            caller.call(
                site.urls[gateway_of(index)],
                "roster",
                "book",
                {"n": index},
                {"idempotency-key": key},
            )
            for index, key in enumerate(bookings)
        ]
        return await asyncio.gather(*tasks)


@when("{number:d} bookings with minted keys run slowly and their home {home} is killed")
def step_kill_home(context, number, home):
    site = context.site
    for name in ("r1", "r2"):
        site.fault(name, slow_s=1.5)
    prefix = site.get(home, "/v1/addresses")["key_prefix"]
    context.keys = [f"{prefix}{index}" for index in range(number)]

    async def scenario():
        first = asyncio.create_task(
            _book_all(site, context.keys, lambda i: site.gateway_names[i % 3])
        )
        await asyncio.to_thread(
            site.wait_for, lambda: len(site.executions()) >= number // 2, "executions"
        )
        await asyncio.to_thread(site.kill, home)
        return await first

    context.first = asyncio.run(scenario())
    context.ran_before = len(site.executions())


@when("every booking is repeated at the other gateways")
def step_repeat(context):
    others = context.site.gateway_names[1:]
    context.repeats = asyncio.run(
        _book_all(context.site, context.keys, lambda i: others[i % 2])
    )


@then("every booking ran at most once")
def step_at_most_once(context):
    ran = [json.loads(e["body"])["n"] for e in context.site.executions()]
    assert len(ran) == len(set(ran)), sorted(ran)


@then("no repeat was run again")
def step_not_again(context):
    assert len(context.site.executions()) == context.ran_before
    outcomes = {answer.outcome for answer in context.repeats}
    assert outcomes == {"unknown"}, outcomes


@when("{gateway} is told to stop under {number:d} streams and callers keep its address")
def step_planned_stop(context, gateway, number):
    site = context.site
    context.key = site.get(gateway, "/v1/addresses")["key_prefix"] + "kept"
    asyncio.run(_book_all(site, [context.key], lambda _: gateway))
    context.answers = asyncio.run(
        _meanwhile(
            stream_many(site, number, 80, [gateway], pause_s=0.05),
            lambda: site.terminate(gateway),
        )
    )
    assert len(context.answers) == number


@then("{gateway} ended with exit code {code:d}")
def step_exit_code(context, gateway, code):
    assert context.site.processes[gateway].wait(SHORT_S) == code


@then("a booking made at {home} is still known at {other}")
def step_still_known(context, home, other):
    def known():
        answers = asyncio.run(_book_all(context.site, [context.key], lambda _: other))
        return answers[0].complete and answers[0]

    answer = context.site.wait_for(known, "the sealed outcome", SHORT_S)
    assert answer.headers.get("cowslip-remembered") == "yes", answer
    assert len(context.site.executions()) == 1


@when("the table goes down")
def step_table_down(context):
    context.site.fault("table", down=True)


@when("the table comes back")
def step_table_back(context):
    context.site.fault("table", down=False)


@then("crew leads get whole answers for longer than a lease lasts")
def step_serve_on(context):
    until = time.monotonic() + 12
    while time.monotonic() < until:
        context.answers = asyncio.run(stream_many(context.site, 6, 12))
        for body, answer in context.answers:
            assert answer.complete, answer
            assert answer.text == "".join(answer_words(body))


@then("an edit is refused and says that nothing was changed")
def step_edit_refused(context):
    done = context.site.cli("label", "vm", "pool=large", "note=x", check=False)
    assert done.returncode == 5, (done.returncode, done.stdout, done.stderr)


@then("an edit is in force everywhere")
def step_edit_in_force(context):
    done = context.site.cli("label", "vm", "pool=large", "note=x", "--wait", "50")
    assert "in force everywhere" in done.stdout, done.stdout


@when("{gateway} is frozen and an edit is made")
def step_frozen_edit(context, gateway):
    context.site.freeze(gateway)
    started = time.monotonic()
    context.edit = context.site.cli(
        "label", "vm", "pool=large", "note=y", "--wait", "50", "-o", "json"
    )
    context.took_s = time.monotonic() - started


@then("the edit is in force everywhere within {limit_s:d} seconds")
def step_in_force_within(context, limit_s):
    answer = json.loads(context.edit.stdout)
    assert answer["accepted"], answer
    assert context.took_s <= limit_s, context.took_s
    context.revision = answer["revision"]


@when("{gateway} wakes")
def step_wakes(context, gateway):
    context.site.wake(gateway)


@then("{gateway} serves only the new revision")
def step_serves_new(context, gateway):
    site = context.site
    site.wait_serving(gateway)

    def current():
        daemons = {d["name"]: d for d in site.status()["daemons"]}
        found = daemons.get(gateway)
        return (
            found
            and found["state"] == "serving"
            and (found["revision"] >= context.revision)
        )

    site.wait_for(current, f"{gateway} at the new revision", SHORT_S)


@when("two operators change the same label at once from the same revision")
def step_race(context):
    site = context.site
    base = str(site.status()["revision"])
    first = ("label", "vm", "pool=large", "note=1", "--name", "note")
    second = ("label", "vm", "pool=large", "note=2", "--name", "note")

    async def both():
        return await asyncio.gather(
            asyncio.to_thread(
                site.cli, *first, "--base-revision", base, "-o", "json", check=False
            ),
            asyncio.to_thread(
                site.cli,
                *second,
                "--base-revision",
                base,
                "-o",
                "json",
                check=False,
                second=True,
            ),
        )

    context.edits = asyncio.run(both())


@then("one edit is made and the other names it")
def step_one_made(context):
    codes = sorted(done.returncode for done in context.edits)
    assert codes == [0, 4], [(d.returncode, d.stdout, d.stderr) for d in context.edits]
    answers = {done.returncode: json.loads(done.stdout) for done in context.edits}
    assert answers[4]["other_edit"] == answers[0]["edit_id"], answers


@when("domain {domain} is drained under {number:d} streams")
def step_drain(context, domain, number):
    site = context.site

    def drain():
        arguments = ("drain", "works", f"domain={domain}", "cabling")
        done = site.cli(*arguments, check=False)
        assert done.returncode == 3, (done.stdout, done.stderr)
        digest = done.stderr.split("--confirm ")[1].split()[0]
        site.cli(*arguments, "--confirm", digest)

    context.answers = asyncio.run(_meanwhile(stream_many(site, number, 150), drain))


@then("no group has a member in {domain}")
def step_none_in(context, domain):
    def empty():
        groups = context.site.status()["groups"]
        return all(group["domain"] != domain for group in groups)

    context.site.wait_for(empty, f"{domain} to be empty", SHORT_S)


@when("the drain is undone")
def step_undrain(context):
    context.site.cli("undrain", "works")


@when("{gateway} is killed under {number:d} streams")
def step_killed(context, gateway, number):
    site = context.site
    context.answers = asyncio.run(
        _meanwhile(
            stream_many(site, number, 200, [gateway]), lambda: site.kill(gateway)
        )
    )


@then("some stream was cut, and none of them was taken for whole")
def step_cut(context):
    cut = [pair for pair in context.answers if not pair[1].complete]
    assert cut
    for body, answer in context.answers:
        assert answer.complete == (answer.text == "".join(answer_words(body)))


@when("a caller leaves a stream of {tokens:d} tokens after the first")
def step_leaves(context, tokens):
    async def leave():
        body = chat_body("long", max_tokens=tokens)
        async with Caller(CREW_KEY) as caller:
            task = asyncio.create_task(caller.chat(context.site.urls["g1"], body))
            await asyncio.to_thread(
                context.site.wait_for,
                lambda: _running(context.site),
                "a running answer",
            )
            task.cancel()

    asyncio.run(leave())


def _running(site):
    """Return the number of answers that engines report as running."""
    engines = site.get("platform", "/control/engines").values()
    return sum(engine["load"]["running"] for engine in engines)


@then("no engine runs anything within {limit_s:d} seconds")
def step_free(context, limit_s):
    context.site.wait_for(lambda: not _running(context.site), "free engines", limit_s)
