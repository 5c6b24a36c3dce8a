"""Steps for separate processes under faults."""

import asyncio
import json
import time

from behave import then, when

from cowslipcourse.standin.engine import answer_words
from features.steps.site_steps import CREW_KEY, stream_many
from harness import Caller
from harness.callers import chat_body

WAIT_TIMEOUT_S = 60


def _members(site, declaration):
    groups = [g for g in site.status()["groups"] if g["declaration"] == declaration]
    return [vm for group in groups for vm in group["members"]]


async def _run_during_streams(streams, *actions):
    """Run streams, and blocking actions one after another during them."""
    stream_task = asyncio.create_task(streams)
    for action in actions:
        await asyncio.sleep(0.2)
        await asyncio.to_thread(action)
    return await stream_task


@when("{count:d} crew leads stream while two members crash one after the other")
def step_two_members_die(context, count):
    site = context.site
    first, second = _members(site, "drafting")[:2]
    context.answers = asyncio.run(
        _run_during_streams(
            stream_many(site, count, tokens=60),
            lambda: site.set_faults(first, dead=True),
            lambda: site.set_faults(second, dead=True),
        )
    )
    site.control_vm(first, "restart")
    site.control_vm(second, "restart")


@then("each answer is complete or reports that it is not")
def step_complete_or_reported(context):
    for body, answer in context.answers:
        words = "".join(answer_words(body))
        assert words.startswith(answer.text), answer
        assert answer.complete == (answer.text == words), answer
        assert answer.complete or answer.problem is not None, answer


@then("most of the streams were resumed and complete")
def step_most_complete(context):
    complete = sum(answer.complete for _, answer in context.answers)
    assert 2 * complete > len(context.answers), complete


def _shard_holder(site, shard):
    """Return the controller that holds a shard."""
    for name in site.controller_names:
        found = site.get(name, "/v1/status", token="token-of-the-demo-operator")
        if found:
            return found["shards"].get(shard, "").partition("/")[0]
    return ""


@when("the holder of shard {shard} is paused until another one holds it, and resumed")
def step_pause_holder(context, shard):
    site = context.site
    first = site.wait_for(lambda: _shard_holder(site, shard), "a holder")
    site.pause(first)
    others = [name for name in site.controller_names if name != first]

    def is_taken_over():
        found = site.get(others[0], "/v1/status", token="token-of-the-demo-operator")
        holder = (found or {"shards": {}})["shards"].get(shard, "").partition("/")[0]
        return holder in others

    site.wait_for(is_taken_over, "another holder", WAIT_TIMEOUT_S)
    site.resume(first)


@then("no engine that checks fencing tokens accepted an outdated order")
def step_no_old_order(context):
    for events in context.site.history()["vms"].values():
        orders = [event for event in events if event["event"] == "order"]
        fencing_tokens = [event["fence"] for event in orders if not event["stale"]]
        assert fencing_tokens == sorted(fencing_tokens), fencing_tokens


async def _send_bookings(site, bookings, gateway_for):
    async with Caller(CREW_KEY) as caller:
        tasks = [
            caller.call(
                site.urls[gateway_for(index)],
                "roster",
                "book",
                {"n": index},
                {"idempotency-key": key},
            )
            for index, key in enumerate(bookings)
        ]
        return await asyncio.gather(*tasks)


@when("{count:d} slow bookings with minted keys run and their home {gateway} is killed")
def step_kill_gateway_during_bookings(context, count, gateway):
    site = context.site
    for name in ("r1", "r2"):
        site.set_faults(name, slow_s=1.5)
    prefix = site.get(gateway, "/v1/addresses")["key_prefix"]
    context.booking_keys = [f"{prefix}{index}" for index in range(count)]

    async def send_bookings_and_kill():
        first = asyncio.create_task(
            _send_bookings(
                site, context.booking_keys, lambda i: site.gateway_names[i % 3]
            )
        )
        await asyncio.to_thread(
            site.wait_for, lambda: len(site.executions()) >= count // 2, "executions"
        )
        await asyncio.to_thread(site.kill, gateway)
        return await first

    context.first_answers = asyncio.run(send_bookings_and_kill())
    context.executions_before = len(site.executions())


@when("every booking is repeated at the other gateways")
def step_repeat_bookings(context):
    others = context.site.gateway_names[1:]
    context.repeat_answers = asyncio.run(
        _send_bookings(context.site, context.booking_keys, lambda i: others[i % 2])
    )


@then("every booking ran at most once")
def step_at_most_once(context):
    booking_numbers = [json.loads(e["body"])["n"] for e in context.site.executions()]
    assert len(booking_numbers) == len(set(booking_numbers)), sorted(booking_numbers)


@then("no repeated booking was executed again")
def step_no_second_execution(context):
    assert len(context.site.executions()) == context.executions_before
    outcomes = {answer.outcome for answer in context.repeat_answers}
    assert outcomes == {"unknown"}, outcomes


@when("{gateway} is shut down during {count:d} streams and callers keep its address")
def step_planned_stop(context, gateway, count):
    site = context.site
    context.booking_key = site.get(gateway, "/v1/addresses")["key_prefix"] + "kept"
    asyncio.run(_send_bookings(site, [context.booking_key], lambda _: gateway))
    context.answers = asyncio.run(
        _run_during_streams(
            stream_many(site, count, 80, [gateway], pause_s=0.05),
            lambda: site.terminate(gateway),
        )
    )
    assert len(context.answers) == count


@then("{gateway} ended with exit code {code:d}")
def step_exit_code(context, gateway, code):
    assert context.site.processes[gateway].wait(WAIT_TIMEOUT_S) == code


@then("a booking made at {gateway} is still known at {other}")
def step_booking_known(context, gateway, other):
    def is_known():
        answers = asyncio.run(
            _send_bookings(context.site, [context.booking_key], lambda _: other)
        )
        return answers[0].complete and answers[0]

    answer = context.site.wait_for(is_known, "the sealed outcome", WAIT_TIMEOUT_S)
    assert answer.headers.get("cowslip-remembered") == "yes", answer
    assert len(context.site.executions()) == 1


@when("the table goes down")
def step_table_down(context):
    context.site.set_faults("table", down=True)


@when("the table comes back")
def step_table_back(context):
    context.site.set_faults("table", down=False)


@then("crew leads get complete answers for longer than a lease lasts")
def step_streams_served_without_table(context):
    deadline = time.monotonic() + 12
    while time.monotonic() < deadline:
        context.answers = asyncio.run(stream_many(context.site, 6, 12))
        for body, answer in context.answers:
            assert answer.complete, answer
            assert answer.text == "".join(answer_words(body))


@then("an edit is refused and reports that nothing was changed")
def step_edit_refused(context):
    completed = context.site.cli("label", "vm", "pool=large", "note=x", check=False)
    assert completed.returncode == 5, (
        completed.returncode,
        completed.stdout,
        completed.stderr,
    )


@then("an edit is in force everywhere")
def step_edit_in_force(context):
    completed = context.site.cli("label", "vm", "pool=large", "note=x", "--wait", "50")
    assert "in force everywhere" in completed.stdout, completed.stdout


@when("{gateway} is paused and an edit is made")
def step_edit_while_paused(context, gateway):
    context.site.pause(gateway)
    started_at = time.monotonic()
    context.edit = context.site.cli(
        "label", "vm", "pool=large", "note=y", "--wait", "50", "-o", "json"
    )
    context.edit_duration_s = time.monotonic() - started_at


@then("the edit is in force everywhere within {limit_s:d} seconds")
def step_in_force_within(context, limit_s):
    answer = json.loads(context.edit.stdout)
    assert answer["accepted"], answer
    assert context.edit_duration_s <= limit_s, context.edit_duration_s
    context.revision = answer["revision"]


@when("{gateway} is resumed")
def step_resume_gateway(context, gateway):
    context.site.resume(gateway)


@then("{gateway} serves only the new revision")
def step_serves_new_revision(context, gateway):
    site = context.site
    site.wait_until_serving(gateway)

    def is_current():
        daemons = {daemon["name"]: daemon for daemon in site.status()["daemons"]}
        found = daemons.get(gateway)
        return (
            found
            and found["state"] == "serving"
            and (found["revision"] >= context.revision)
        )

    site.wait_for(is_current, f"{gateway} at the new revision", WAIT_TIMEOUT_S)


@when("two operators change the same label concurrently from the same revision")
def step_concurrent_edits(context):
    site = context.site
    base_revision = str(site.status()["revision"])
    first = ("label", "vm", "pool=large", "note=1", "--name", "note")
    second = ("label", "vm", "pool=large", "note=2", "--name", "note")

    async def make_both_edits():
        return await asyncio.gather(
            asyncio.to_thread(
                site.cli,
                *first,
                "--base-revision",
                base_revision,
                "-o",
                "json",
                check=False,
            ),
            asyncio.to_thread(
                site.cli,
                *second,
                "--base-revision",
                base_revision,
                "-o",
                "json",
                check=False,
                as_second_operator=True,
            ),
        )

    context.edits = asyncio.run(make_both_edits())


@then("one edit is accepted and the refusal of the other names it")
def step_one_edit_accepted(context):
    codes = sorted(completed.returncode for completed in context.edits)
    assert codes == [0, 4], [
        (edit.returncode, edit.stdout, edit.stderr) for edit in context.edits
    ]
    answers = {
        completed.returncode: json.loads(completed.stdout)
        for completed in context.edits
    }
    assert answers[4]["other_edit"] == answers[0]["edit_id"], answers


@when("domain {domain} is drained during {count:d} streams")
def step_drain(context, domain, count):
    site = context.site

    def drain():
        arguments = ("drain", "works", f"domain={domain}", "cabling")
        completed = site.cli(*arguments, check=False)
        assert completed.returncode == 3, (completed.stdout, completed.stderr)
        digest = completed.stderr.split("--confirm ")[1].split()[0]
        site.cli(*arguments, "--confirm", digest)

    context.answers = asyncio.run(
        _run_during_streams(stream_many(site, count, 150), drain)
    )


@then("no group has a member in {domain}")
def step_no_group_in_domain(context, domain):
    def is_empty():
        groups = context.site.status()["groups"]
        return all(group["domain"] != domain for group in groups)

    context.site.wait_for(is_empty, f"{domain} to be empty", WAIT_TIMEOUT_S)


@when("the drain is undone")
def step_undrain(context):
    context.site.cli("undrain", "works")


@when("{gateway} is killed during {count:d} streams")
def step_kill_gateway(context, gateway, count):
    site = context.site
    context.answers = asyncio.run(
        _run_during_streams(
            stream_many(site, count, 200, [gateway]), lambda: site.kill(gateway)
        )
    )


@then("some stream was interrupted, and no incomplete one was reported as complete")
def step_interrupted_streams(context):
    incomplete = [pair for pair in context.answers if not pair[1].complete]
    assert incomplete
    for body, answer in context.answers:
        assert answer.complete == (answer.text == "".join(answer_words(body)))


@when("a caller disconnects from a stream of {tokens:d} tokens after the first")
def step_caller_disconnects(context, tokens):
    async def disconnect():
        body = chat_body("long", max_tokens=tokens)
        async with Caller(CREW_KEY) as caller:
            task = asyncio.create_task(caller.chat(context.site.urls["g1"], body))
            await asyncio.to_thread(
                context.site.wait_for,
                lambda: _running_answers(context.site),
                "a running answer",
            )
            task.cancel()

    asyncio.run(disconnect())


def _running_answers(site):
    """Return the number of answers that engines report as running."""
    engines = site.get("platform", "/control/engines").values()
    return sum(engine["load"]["running"] for engine in engines)


@then("all engines are idle within {limit_s:d} seconds")
def step_engines_idle(context, limit_s):
    context.site.wait_for(
        lambda: not _running_answers(context.site), "free engines", limit_s
    )
