"""Fakes of the ports that run in one process and in virtual time.

The table, the engines and the services are those of the stand-in, without HTTP and
gRPC. Every call passes a gate: while a daemon's gate is shut the daemon is paused, and
its calls and their responses are delayed.
"""

import asyncio
import copy
from contextlib import aclosing

from cowslipcourse.exceptions import (
    ConditionFailed,
    MalformedResponse,
    PeerUnreachable,
    ReplyLost,
    StoreUnavailable,
    TargetRefused,
    TargetUnreachable,
)
from cowslipcourse.fleet import VM, TargetKind, VmState
from cowslipcourse.ports import EngineLoad, EngineStatus, Row, ServiceResponse
from cowslipcourse.standin.engine import Refused

__all__ = ["FakeNetwork", "FakePeers", "FakePlatform", "FakeTargets", "Gate"]

MESSAGE_DELAY_S = 0.002
CALL_TIMEOUT_S = 0.8


class Gate:
    """Delays the messages of a daemon while it is paused."""

    def __init__(self):
        self._open = asyncio.Event()
        self._open.set()

    @property
    def is_open(self):
        """Whether the daemon is running."""
        return self._open.is_set()

    def shut(self):
        """Pause the daemon."""
        self._open.clear()

    def open(self):
        """Resume the daemon."""
        self._open.set()

    async def pass_message(self):
        """Delay one message, and hold it while the gate is shut."""
        await self._open.wait()
        await asyncio.sleep(MESSAGE_DELAY_S)
        await self._open.wait()


class FakePlatform:
    """Table service, object store and VM list as one daemon reaches them."""

    def __init__(self, world, gate):
        self._world = world
        self._gate = gate
        self.cut = False

    async def _begin_table_call(self):
        await self._gate.pass_message()
        faults = self._world.table.faults
        if faults["slow_s"]:
            await asyncio.sleep(faults["slow_s"])
        if faults["down"] or self.cut:
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise StoreUnavailable("down")

    async def read(self, key):
        await self._begin_table_call()
        found = copy.deepcopy(self._world.table.read(key))
        await self._gate.pass_message()
        return found and Row(**found)

    async def scan(self, prefix):
        await self._begin_table_call()
        found = [Row(**copy.deepcopy(row)) for row in self._world.table.scan(prefix)]
        await self._gate.pass_message()
        return found

    async def commit(self, transaction):
        await self._begin_table_call()
        table = self._world.table
        conditions, writes = copy.deepcopy(transaction)
        version, conflicts = table.commit(conditions, writes)
        is_reply_lost = table.consume_reply_loss()
        await self._gate.pass_message()
        if is_reply_lost:
            raise ReplyLost("lost")
        if conflicts:
            raise ConditionFailed(conflicts)
        return version

    async def put(self, name, content):
        await self._gate.pass_message()
        if self._world.object_faults["down"] or self.cut:
            raise StoreUnavailable("down")
        self._world.objects[name] = content

    async def get(self, name):
        await self._gate.pass_message()
        if self._world.object_faults["down"] or self.cut:
            raise StoreUnavailable("down")
        return self._world.objects.get(name)

    async def list_vms(self):
        await self._gate.pass_message()
        if self._world.list_faults["down"] or self.cut:
            raise StoreUnavailable("down")
        return [_decode_vm(entry) for entry in self._world.listed()]


def _decode_vm(entry):
    platform_labels = {"domain": entry["domain"], "data-centre": entry["data_centre"]}
    fields = {**entry, "labels": {**entry["labels"], **platform_labels}}
    fields["kind"] = TargetKind(entry["kind"])
    fields["state"] = VmState(entry["state"])
    return VM(**fields)


class FakeTargets:
    """Engines and services as one daemon reaches them."""

    def __init__(self, world, gate, probe_timeout_s=CALL_TIMEOUT_S):
        self._world = world
        self._gate = gate
        self._probe_timeout_s = probe_timeout_s

    async def _reach_target(self, address, timeout_s, sent=True):
        await self._gate.pass_message()
        target = self._world.find(address.rsplit("/", 1)[1])
        if target is None or target.faults["dead"]:
            raise TargetUnreachable("refused", sent=False)
        if target.faults["frozen"]:
            await asyncio.sleep(timeout_s)
            raise TargetUnreachable("timeout", sent=sent)
        return target

    async def probe(self, address):
        target = await self._reach_target(address, self._probe_timeout_s, sent=False)
        found = target.status()
        load = EngineLoad(**found.pop("load"))
        prefixes = tuple(found.pop("prefixes", ()))
        await self._gate.pass_message()
        return EngineStatus(**found, load=load, prefixes=prefixes)

    async def order(self, address, order):
        target = await self._reach_target(address, 2.0)
        delay_s = target.faults.get("order_delay_s", 0.0)
        await asyncio.sleep(delay_s)
        try:
            target.order(order._asdict())
        except Refused as error:
            raise TargetRefused(str(error)) from error
        finally:
            await self._gate.pass_message()

    async def generate(self, address, request, may_abandon):
        target = await self._reach_target(address, 5.0)
        headers = {
            "x-attempt": request.attempt_id,
            "x-request": request.request_id,
            "x-group": request.group,
            "x-epoch": str(request.epoch),
            "x-priority": str(request.priority),
            "x-resume-from": str(request.resume_from),
        }
        try:
            sequence = target.generate(headers, request.body)
        except Refused as error:
            raise TargetRefused(str(error)) from error
        if target.consume_early_break():
            raise TargetUnreachable("broken")
        try:
            yield []
            event_batches = self._event_batches(target, sequence, may_abandon)
            async with aclosing(event_batches) as batches:
                async for events in batches:
                    yield events
        finally:
            target.cancel(sequence.attempt)

    async def _event_batches(self, target, sequence, may_abandon):
        while True:
            try:
                event = await asyncio.wait_for(sequence.events.get(), 5.0)
            except TimeoutError as error:
                if not may_abandon():
                    continue
                raise TargetUnreachable("timeout") from error
            await self._gate.pass_message()
            if event is None or target.faults["dead"]:
                raise TargetUnreachable("broken")
            yield [event.removesuffix(b"\n\n")]
            if b"data: [DONE]" in event:
                return

    async def refuses_connections(self, address):
        await self._gate.pass_message()
        target = self._world.find(address.rsplit("/", 1)[1])
        return target is not None and target.faults["dead"]

    async def cancel(self, address, attempt_id):
        try:
            target = await self._reach_target(address, 2.0)
        except TargetUnreachable:
            return
        target.cancel(attempt_id)

    async def call(self, address, operation, attempt_id, body):
        target = await self._reach_target(address, 5.0)
        if _consume_fault(target.faults, "drop_unread"):
            raise TargetUnreachable("broken")
        try:
            answer = await target.call(operation, attempt_id, body)
        except Refused as error:
            raise TargetRefused(str(error)) from error
        if target.faults["dead"] or _consume_fault(target.faults, "drop_before_answer"):
            raise TargetUnreachable("broken")
        if _consume_fault(target.faults, "wrong_attempt"):
            raise MalformedResponse("another call's answer")
        await self._gate.pass_message()
        return ServiceResponse(200, "application/json", str(answer).encode())


def _consume_fault(faults, name):
    if not faults.get(name):
        return False
    faults[name] -= 1
    return True


async def _run_handler(coroutine):
    """Run a peer's handler; a crash of the peer breaks the connection."""
    task = asyncio.create_task(coroutine)
    await asyncio.wait((task,))
    if task.cancelled():
        raise PeerUnreachable("broken")
    return task.result()


class FakeNetwork:
    """Links between daemons, identified by their addresses."""

    def __init__(self):
        self.handlers = {}
        self.gates = {}
        self.cut = set()

    def linked(self, a, b):
        """Return whether two daemons can reach each other."""
        return frozenset((a, b)) not in self.cut


class FakePeers:
    """The peer network as one daemon reaches it."""

    def __init__(self, network, address, gate):
        self._network = network
        self._address = address
        self._gate = gate

    async def listen(self, handler):
        self._network.handlers[self._address] = handler
        self._network.gates[self._address] = self._gate

    async def heartbeat(self, address, heartbeat, timeout_s):
        return await self._call(address, "heartbeat", heartbeat, timeout_s)

    async def forward(self, address, call, timeout_s):
        return await self._call(address, "forward", call, timeout_s)

    async def close_connections_except(self, addresses):
        """Nothing to close."""

    async def close(self):
        self._network.handlers.pop(self._address, None)

    async def _call(self, address, name, message, timeout_s):
        try:
            async with asyncio.timeout(timeout_s):
                await self._gate.pass_message()
                handler = self._network.handlers.get(address)
                if handler is None:
                    raise PeerUnreachable("nobody listens")
                if not self._network.linked(self._address, address):
                    await asyncio.sleep(timeout_s + 1)
                await self._network.gates[address].pass_message()
                answer = await _run_handler(getattr(handler, name)(message))
                if not self._network.linked(self._address, address):
                    await asyncio.sleep(timeout_s + 1)
                await self._gate.pass_message()
                return answer
        except TimeoutError as error:
            raise PeerUnreachable("timeout") from error
