"""Steps for keyed calls that are forwarded to the home gateway of their key."""

from types import SimpleNamespace

from behave import given, then, when

from cowslipcourse.daemon import now
from cowslipcourse.emulator.clock import run_in_virtual_time
from cowslipcourse.exceptions import OutcomeUnknown
from cowslipcourse.gateway.services import ServiceHandler
from cowslipcourse.ports.peers import ForwardResponse
from cowslipcourse.requests.keys import key_prefix


class _Peers:
    def __init__(self):
        self.forwarded = []

    async def forward(self, address, call, timeout_s):
        self.forwarded.append((call.remaining_s, timeout_s))
        return ForwardResponse(status=200, content_type="text/plain", body=b"ok")


def _handler(peers):
    home = SimpleNamespace(incarnation="1", peer_address="127.0.0.1:1")
    agent = SimpleNamespace(
        member=SimpleNamespace(name="g2", incarnation="2"),
        revision=SimpleNamespace(members={"g1": home}),
        peers=peers,
        on_forward=lambda handle: None,
    )
    service = SimpleNamespace(repeatable=False)
    configuration = SimpleNamespace(service={"desk": service})
    fleet_view = SimpleNamespace(configuration=configuration)
    return ServiceHandler(
        SimpleNamespace(agent=agent, fleet_view=fleet_view), claims=None
    )


@given("a keyed call whose deadline is {seconds:g} s from now")
def step_keyed_call(context, seconds):
    context.deadline_in_s = seconds


@when("it reaches a gateway that is not the key's home")
def step_forwarded(context):
    context.peers = _Peers()
    context.error = None

    async def run():
        call = SimpleNamespace(
            idempotency_key=f"{key_prefix('g1', '1', 0)}nonce",
            repeatable=None,
            workspace="w",
            deadline=now() + context.deadline_in_s,
        )
        try:
            await _handler(context.peers).run(call, "desk", "book", b"")
        except OutcomeUnknown as error:
            context.error = error

    run_in_virtual_time(run())


@then("the caller learns that the outcome is unknown, and nothing was forwarded")
def step_unknown(context):
    assert context.error is not None
    assert not context.peers.forwarded, context.peers.forwarded


@then("it is forwarded with {seconds:g} s left")
def step_forwarded_with(context, seconds):
    assert context.error is None, context.error
    assert context.peers.forwarded == [(seconds, seconds)], context.peers.forwarded
