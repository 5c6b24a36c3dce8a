"""Steps for the permits of rate-limited targets."""

import heapq
import random

from behave import given, then, when

from cowslipcourse.rate_limits import IssuerDirectory, PermitIssuer, TargetInstance

INSTANCE = TargetInstance("t1", 1)
TARGETS = [TargetInstance(f"t{number}", 1) for number in range(100)]
WINDOW_S = 4.0


@given("an issuer for a target with a limit of {limit:g} per s")
def step_issuer(context, limit):
    context.limit = limit
    context.rng = random.Random(1)
    context.issuer = PermitIssuer(context.rng)
    context.granted_at, context.requests = [], 0


def _ask(context, daemon, now):
    decision = context.issuer.decide(INSTANCE, daemon, context.limit, now)
    context.requests += 1
    if decision.is_granted:
        context.granted_at.append(now)
    return decision


@when("{count:d} daemons ask for permits in bursts and pauses for {duration:d} s")
def step_bursts(context, count, duration):
    now = 0.0
    while now < duration:
        is_burst = context.rng.random() < 0.5
        for _ in range(200 if is_burst else 1):
            now += context.rng.expovariate(20 * context.limit + 5)
            _ask(context, f"d{context.rng.randrange(count)}", now)
        now += context.rng.choice((0.0, 0.3, 4.0, 12.0))


@then("no 4 s have more permits than 1.25 times the limit and 2")
def step_bound(context):
    tolerated = 1.25 * WINDOW_S * context.limit + 2
    times = context.granted_at
    for index, at in enumerate(times):
        count = sum(t > at - WINDOW_S for t in times[: index + 1])
        assert count <= tolerated, (count, tolerated)


@when("{count:d} daemons always have a request for it and wait as asked for {end:d} s")
def step_saturated(context, count, end):
    context.duration_s = end
    queue = [(context.rng.random(), f"d{number}") for number in range(count)]
    heapq.heapify(queue)
    while queue[0][0] < end:
        now, daemon = heapq.heappop(queue)
        decision = _ask(context, daemon, now)
        # The next request arrives soon after the previous one was sent.
        wait_s = 0.02 if decision.is_granted else decision.wait_s
        heapq.heappush(queue, (now + max(wait_s, 0.02), daemon))


@then("at least {fraction:g} of the limit is used")
def step_used(context, fraction):
    used = len(context.granted_at) / context.duration_s / context.limit
    assert used >= fraction, used


@then("after the first {count:d} at most {rate:d} permit requests per s were made")
def step_requests(context, count, rate):
    requests_per_s = (context.requests - count) / context.duration_s
    assert requests_per_s <= rate, requests_per_s


@given("{count:d} daemons in {data_centres:d} data centres")
def step_daemons(context, count, data_centres):
    context.daemons = {f"dc{number}": set() for number in range(data_centres)}
    for number in range(count):
        data_centre = f"dc{number % data_centres}"
        context.daemons[data_centre].add(f"{data_centre}-d{number}")


def _issuers(daemons):
    directory = IssuerDirectory(daemons)
    return {
        (target, data_centre): directory.issuer(target, data_centre)
        for target in TARGETS
        for data_centre in daemons
    }


@then("each issuer is in the data centre of its target")
def step_same_data_centre(context):
    for (_, data_centre), issuer in _issuers(context.daemons).items():
        assert issuer.startswith(f"{data_centre}-"), (data_centre, issuer)


@then(
    "no daemon issues permits for more than {factor:d} times the average of "
    "{count:d} targets"
)
def step_balanced(context, factor, count):
    issuers = list(_issuers(context.daemons).values())
    assert len(issuers) == count
    average = count / sum(map(len, context.daemons.values()))
    most = max(issuers.count(issuer) for issuer in set(issuers))
    assert most <= factor * average, (most, average)


@when("one daemon disappears")
def step_daemon_gone(context):
    context.issuers_before = _issuers(context.daemons)
    context.gone = context.daemons["dc1"].pop()


@then("only its targets have another issuer")
def step_few_moved(context):
    for target, issuer in _issuers(context.daemons).items():
        before = context.issuers_before[target]
        assert (issuer != before) == (before == context.gone), (target, before, issuer)


@then("a target of a fifth data centre has an issuer")
def step_other_data_centre(context):
    issuer = IssuerDirectory(context.daemons).issuer(INSTANCE, "dc9")
    assert issuer in set().union(*context.daemons.values())


@then("without daemons it has none")
def step_no_issuer(context):
    assert IssuerDirectory().issuer(INSTANCE, "dc9") is None
