"""Steps for gateways whose groups are silent."""

import asyncio

from behave import given, then, when

from cowslipcourse.adapters.targets import HttpTargetClient
from cowslipcourse.admission import Priority
from cowslipcourse.daemon import now
from cowslipcourse.emulator.clock import run_in_virtual_time
from cowslipcourse.exceptions import RequestError, TargetUnreachable
from cowslipcourse.gateway.callers import Call
from cowslipcourse.gateway.generation import Generation
from cowslipcourse.ports import GenerateRequest
from cowslipcourse.settings import TargetSettings
from cowslipcourse.standin.engine import answer_words
from features.support.group_runs import vm_specs
from features.support.small_site import InProcessSite, base_changes
from harness.callers import chat_body

STARTUP_S = 30.0
ANSWER_TOKENS = 12
TOKEN_S = 0.05
"""Time that an engine of the site takes for a token."""
SILENCE_S = 7.0
SLOW_START_S = 0.5
"""Time in which an engine begins the step that takes so long."""
ANSWER_LIMIT_S = 60.0
REQUEST = GenerateRequest("r1", "a1", "g", 1, 0, 0, b"{}")
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nx-attempt: a1\r\nx-group: g\r\nx-epoch: 1\r\n\r\n"
REPEATABLE = {"repeatable": None, "not repeatable": False}


class _SilencedAnswer:
    """An answer whose group sends nothing for some time after its first token.

    :param site: :class:`~features.support.small_site.InProcessSite`
    :param repeatable: whether the request may be repeated; ``None`` if not stated.
    :param cause: ``"is slow"`` or ``"is lost"``.
    """

    def __init__(self, site, repeatable, cause):
        self._site = site
        self._cause = cause
        self._body = chat_body("x", "m", ANSWER_TOKENS)
        gateway = site.gateways["g1"]
        call = Call("r", "crew", Priority.NORMAL, None, "", repeatable)
        declarations = gateway.chooser.admit(call, "m")
        self._generation = Generation(call, self._body, declarations, gateway.context)
        self._gateway = gateway
        self._chunks = []
        self.took_s = 0.0

    @property
    def is_whole(self):
        """Whether all of it has been yielded, once."""
        events = b"".join(self._chunks).split(b"\n\n")[:-1]
        expected = len(answer_words(self._body))
        return self._generation.complete and len(events) == expected

    @property
    def sent(self):
        """Number of attempts."""
        return len(self._generation.attempted_groups)

    async def run(self):
        """Collect the answer until it ends."""
        began_at = now()
        try:
            async for chunk in self._generation.chunks():
                self._chunks.append(chunk)
                if len(self._chunks) == 1:
                    await self._silence_group()
        except RequestError:
            return
        finally:
            self.took_s = now() - began_at

    async def _silence_group(self):
        group = self._generation.attempted_groups[0]
        spec = self._gateway.view.groups[group].report.spec
        engine = self._site.world.targets[spec.leader.vm]
        if self._cause == "is lost":
            # Its stream is not broken off: nothing arrives from a VM that is lost.
            self._site.world.leaders_detect_loss = False
            engine.faults["frozen"] = True
            engine.faults["slow_factor"] = ANSWER_LIMIT_S / TOKEN_S
            return
        engine.faults["slow_factor"] = SILENCE_S / TOKEN_S
        await asyncio.sleep(SLOW_START_S)
        engine.faults["slow_factor"] = 1.0


@when(
    "a {kind} answer with {attempts:d} attempts gets no token for 7 s as its engine "
    "{cause}"
)
def step_silenced_answer(context, kind, attempts, cause):
    async def run():
        site = InProcessSite(1, vm_specs(False), ("c1",), context.gateways)
        site.gateway_limits = {"attempts": attempts}
        await site.start()
        try:
            await site.edit("c1", *base_changes(2, 4))
            await asyncio.sleep(STARTUP_S)
            answer = _SilencedAnswer(site, REPEATABLE[kind], cause)
            await answer.run()
            return answer
        finally:
            await site.stop()

    context.answer = run_in_virtual_time(run())


@then("the answer is {outcome} within {limit_s:d} s, after {sent:d} attempts")
def step_answer(context, outcome, limit_s, sent):
    answer = context.answer
    assert answer.is_whole == (outcome == "whole"), answer.sent
    assert answer.sent == sent, answer.sent
    assert answer.took_s <= limit_s, answer.took_s


async def _serve_with_pause(pause_s, reader, writer):
    await reader.readuntil(b"\r\n\r\n")
    writer.write(RESPONSE_HEAD + b"data: 1\n\n")
    await asyncio.sleep(pause_s)
    writer.write(b"data: 2\n\n")
    writer.close()


@given("an engine that pauses for {pause_s:f} s after the first of two tokens")
def step_pausing_engine(context, pause_s):
    context.pause_s = pause_s


@when("a gateway reads its response with a limit of {limit_s:f} s, and {permission}")
def step_read(context, limit_s, permission):
    may_abandon = permission == "may give it up: yes"

    async def run():
        def serve(reader, writer):
            return _serve_with_pause(context.pause_s, reader, writer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = HttpTargetClient(TargetSettings(token_timeout_s=limit_s))
        context.events, context.outcome = [], "whole"
        try:
            async for events in client.generate(
                f"http://127.0.0.1:{port}", REQUEST, lambda: may_abandon
            ):
                context.events += events
        except TargetUnreachable as error:
            context.outcome = error.code
        await client.close()
        server.close()

    asyncio.run(run())


@then("it gets {count:d} tokens and the outcome is {outcome}")
def step_read_outcome(context, count, outcome):
    assert len(context.events) == count, context.events
    assert context.outcome == outcome, context.outcome
