"""Steps for the rate limiter of one daemon."""

import asyncio
import random

from behave import given, then, when

from cowslipcourse.emulator.clock import run_in_virtual_time
from cowslipcourse.exceptions import (
    MalformedResponse,
    TargetUnreachable,
    TargetWithheld,
)
from cowslipcourse.peer_protocol import (
    LimitUpdate,
    PermitRequest,
    PermitResponse,
    StatedLimit,
    decode,
    encode,
)
from cowslipcourse.ports import TargetEntry
from cowslipcourse.rate_limit_runtime import RateLimiter
from cowslipcourse.rate_limits import IssuerDirectory, TargetInstance
from features.support.limiter_peers import RecordingPeers
from features.support.log_records import recorded_logs

OWN, OTHER, THIRD = "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"
SETTLED_S = 5.0
LIMIT_PER_S = 2.0


class _Prober:
    """Returns the given limits one after the other."""

    def __init__(self):
        self.limits = []
        self.calls = 0
        self.fails = False

    async def probe(self, instance):
        self.calls += 1
        if self.fails:
            raise TargetUnreachable("the target does not respond")
        return self.limits.pop(0) if self.limits else None


class _Daemon:
    """A rate limiter with recorded messages; the target's issuer is given."""

    def __init__(self, issuer):
        self.peers = RecordingPeers(OWN, [OTHER])
        self.prober = _Prober()
        self.limiter = RateLimiter(self.peers, self.prober, random.Random(1))
        self.entry = _entry_issued_by(issuer)
        self.task = asyncio.create_task(self.limiter.run())

    def requests(self):
        return [m for m, _ in self.peers.sent if isinstance(m, PermitRequest)]

    def responses(self):
        return [m for m, _ in self.peers.sent if isinstance(m, PermitResponse)]

    def state_limit(self, limit_per_s=LIMIT_PER_S):
        self.limiter.observe(self.entry, limit_per_s)

    def respond(self, is_granted, wait_s=0.0, number_offset=0):
        request = self.requests()[-1]
        number = request.number + number_offset
        response = PermitResponse(number, is_granted, wait_s, request.limit)
        self.limiter.handle_message(response)

    async def acquire(self):
        """Return how long the target is withheld afterwards, ``None`` if granted."""
        try:
            await self.limiter.acquire(self.entry)
        except TargetWithheld:
            return self.limiter.withheld_until(self.entry) - _now()
        return None


def _entry_issued_by(issuer):
    directory = IssuerDirectory({"x": {OWN, OTHER}})
    number = 0
    while directory.issuer(TargetInstance(f"t{number}", 1), "x") != issuer:
        number += 1
    return TargetEntry(f"t{number}", "s", "10.1.0.1:1", "x", 6, incarnation=1)


def _stated(entry, limit_per_s, age_s=0.0):
    return StatedLimit(entry.id, entry.incarnation, entry.service, limit_per_s, age_s)


def _now():
    return asyncio.get_running_loop().time()


def _play(context, issuer, *actions, settled=True):
    """Run actions with a daemon in virtual time."""

    async def run():
        daemon = _Daemon(issuer)
        await asyncio.sleep(SETTLED_S if settled else 0.0)
        daemon.state_limit()
        for action in actions:
            await action(daemon)
        daemon.task.cancel()

    with recorded_logs("cowslipcourse.rate_limit_runtime") as context.records:
        run_in_virtual_time(run())


@given("a target whose permits another daemon issues")
def step_other_issuer(context):
    context.issuer, context.settled, context.actions = OTHER, True, []


@given("a target whose permits this daemon issues since just now")
def step_new_issuer(context):
    context.issuer, context.settled, context.actions = OWN, False, []


@given("a target whose permits this daemon has issued for a while")
def step_own_issuer(context):
    context.issuer, context.settled, context.actions = OWN, True, []


@given("a target that has ended its limit")
def step_ended(context):
    async def end(daemon):
        await asyncio.sleep(0.1)
        daemon.state_limit(None)

    context.issuer, context.settled, context.actions = OWN, True, [end]


def _finish(context, *actions):
    _play(
        context,
        context.issuer,
        *context.actions,
        *actions,
        settled=context.settled,
    )


@when("{count:d} requests ask for permits in a row and none is answered")
def step_unanswered(context, count):
    context.waits = []

    async def ask(daemon):
        for _ in range(count):
            wait_s = await daemon.acquire()
            context.waits.append(round(wait_s, 3))
            await asyncio.sleep(wait_s)

    _finish(context, ask)


@then("the target was withheld for {waits} s")
def step_waits(context, waits):
    expected = [float(each) for each in waits.replace(" and ", ", ").split(", ")]
    assert context.waits == expected, context.waits


@then("one line names the silent issuer")
def step_silent_issuer(context):
    lines = [r for r in context.records if r.getMessage() == "issuer-silent"]
    assert [line.fields["issuer"] for line in lines] == [OTHER]


@when("a permit request is refused with a wait of {wait:g} s")
def step_refused(context, wait):
    async def refuse(daemon):
        asking = asyncio.create_task(daemon.acquire())
        await asyncio.sleep(0.01)
        daemon.respond(False, wait)
        assert abs(await asking - wait) < 0.01

    context.actions.append(refuse)


@when("{count:d} more requests come within 1 s")
def step_more_requests(context, count):
    async def ask(daemon):
        for _ in range(count):
            assert await daemon.acquire() is not None
            await asyncio.sleep(1.0 / count)
        context.request_count = len(daemon.requests())

    _finish(context, ask)


@then("{count:d} permit request was sent")
def step_sent_requests(context, count):
    assert context.request_count == count, context.request_count


@when("another daemon sends {news}")
def step_news(context, news):
    limit_per_s = None if news == "the end of the limit" else 20.0

    async def receive(daemon):
        await asyncio.sleep(0.5)
        update = LimitUpdate((_stated(daemon.entry, limit_per_s),))
        daemon.limiter.handle_message(update)
        context.withheld_until = daemon.limiter.withheld_until(daemon.entry)

    _finish(context, receive)


@then("the target is usable at once")
def step_usable(context):
    assert context.withheld_until == float("-inf"), context.withheld_until


@when("a permit request is followed by a grant with another number")
def step_other_number(context):
    async def grant(daemon):
        asking = asyncio.create_task(daemon.acquire())
        await asyncio.sleep(0.01)
        daemon.respond(True, number_offset=1)
        context.wait_s = await asking

    _finish(context, grant)


@then("the request is withheld")
def step_withheld(context):
    assert context.wait_s is not None


@then("it grants nothing for 3 s, and a permit afterwards")
def step_handover(context):
    async def ask(daemon):
        await asyncio.sleep(0.1)
        assert 2.5 < await daemon.acquire() <= 3.0
        await asyncio.sleep(2.8)
        assert await daemon.acquire() is not None
        await asyncio.sleep(0.3)
        assert await daemon.acquire() is None

    _finish(context, ask)


@when("it has lost most daemons of its data centre")
def step_isolated(context):
    async def isolate(daemon):
        daemon.peers.isolated = True

    context.actions.append(isolate)


@then("it grants nothing")
def step_grants_nothing(context):
    async def ask(daemon):
        for _ in range(20):
            assert await daemon.acquire() is not None
            await asyncio.sleep(0.5)

    _finish(context, ask)


@when("a third daemon asks this one for a permit")
def step_third_daemon(context):
    async def receive(daemon):
        stated = _stated(daemon.entry, LIMIT_PER_S, age_s=1.0)
        daemon.limiter.handle_message(PermitRequest(7, THIRD, "x", stated))
        (context.response,) = daemon.responses()

    _finish(context, receive)


@then("it is refused with a wait of {wait:g} s")
def step_refusal(context, wait):
    assert not context.response.is_granted
    assert context.response.wait_s == wait, context.response


@then("it is granted and learns of the end")
def step_granted(context):
    assert context.response.is_granted
    assert context.response.limit.limit_per_s is None


@when("it states its limit in no response to a probe")
def step_silent_probe(context):
    async def probe(daemon):
        await daemon.acquire()
        await asyncio.sleep(2.0)
        assert daemon.prober.calls == 1, daemon.prober.calls
        context.limit_after_probe = _limit(daemon)

    context.actions.append(probe)


def _limit(daemon):
    instance = TargetInstance(daemon.entry.id, daemon.entry.incarnation)
    return daemon.limiter.limit_per_s(instance)


@then("its limit is still known")
def step_still_known(context):
    async def check(daemon):
        assert context.limit_after_probe == LIMIT_PER_S

    context.actions.append(check)


@when("it states its limit in a response to a probe and not in the next one")
def step_stating_probes(context):
    async def probe(daemon):
        daemon.prober.limits = [LIMIT_PER_S, None]
        await daemon.acquire()
        await asyncio.sleep(4.0)
        context.limit_at_end = _limit(daemon)

    _finish(context, probe)


@then("its limit has ended")
def step_ended_by_probe(context):
    assert context.limit_at_end is None


@when("{count:d} probes of it fail")
def step_failing_probes(context, count):
    async def probe(daemon):
        daemon.prober.fails = True
        while daemon.prober.calls < count:
            await daemon.acquire()
            await asyncio.sleep(0.5)

    _finish(context, probe)


@then("one line says so")
def step_one_line(context):
    lines = [r for r in context.records if r.getMessage() == "limit-not-probed"]
    assert len(lines) == 1, lines


@when("no request has asked for a permit for {seconds:d} s")
def step_no_demand(context, seconds):
    async def wait(daemon):
        await daemon.acquire()
        await asyncio.sleep(seconds)
        before = daemon.prober.calls
        await asyncio.sleep(seconds)
        context.probes = daemon.prober.calls - before

    _finish(context, wait)


@then("it is not probed")
def step_not_probed(context):
    assert context.probes == 0, context.probes


@given("{count:d} targets with limits")
def step_many_limits(context, count):
    context.issuer, context.settled, context.actions = OWN, True, []

    async def state(daemon):
        for number in range(count - 1):
            entry = daemon.entry._replace(id=f"u{number}")
            daemon.limiter.observe(entry, LIMIT_PER_S)
        await asyncio.sleep(2.0)
        daemon.peers.sent.clear()

    context.actions.append(state)


@when("a daemon starts")
def step_daemon_starts(context):
    async def start(daemon):
        daemon.limiter.send_all_limits(THIRD)
        context.sent = list(daemon.peers.sent)

    _finish(context, start)


@then("it is sent all {count:d} in {messages:d} messages")
def step_all_sent(context, count, messages):
    assert all(receivers == (THIRD,) for _, receivers in context.sent)
    assert len(context.sent) == messages, len(context.sent)
    targets = {s.target for message, _ in context.sent for s in message.limits}
    assert len(targets) == count, len(targets)


@when("a message states a limit of {limit} that is {age} s old")
def step_message(context, limit, age):
    stated = StatedLimit("t1", 1, "s", float(limit), float(age))
    context.content = encode(LimitUpdate((stated,)))


@then("it cannot be decoded")
def step_not_decoded(context):
    try:
        message = decode(context.content)
    except MalformedResponse:
        return
    raise AssertionError(message)
