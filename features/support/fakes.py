"""Small fakes at the ports, in one process and in fake time.

The table, the engines and the services are the stand-in's own; only HTTP and gRPC are
left out. Every call passes a gate that can be shut: a daemon whose gates are shut is
frozen, its calls leave late and their answers come in late.
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

TRIP_S = 0.002
TIMEOUT_S = 0.8


class Gate:
    """Shut while its daemon is frozen."""

    def __init__(self):
        self._open = asyncio.Event()
        self._open.set()

    @property
    def is_open(self):
        """Whether the daemon runs."""
        return self._open.is_set()

    def shut(self):
        """Freeze the daemon."""
        self._open.clear()

    def open(self):
        """Wake the daemon."""
        self._open.set()

    async def trip(self):
        """Let a message leave or come in."""
        await self._open.wait()
        await asyncio.sleep(TRIP_S)
        await self._open.wait()


class FakePlatform:
    """Table service, object store and VM list of one daemon."""

    def __init__(self, world, gate):
        self._world = world
        self._gate = gate
        self.cut = False

    async def _enter(self):
        await self._gate.trip()
        faults = self._world.table.faults
        if faults["slow_s"]:
            await asyncio.sleep(faults["slow_s"])
        if faults["down"] or self.cut:
            await asyncio.sleep(TIMEOUT_S)
            raise StoreUnavailable("down")

    async def read(self, key):
        await self._enter()
        found = copy.deepcopy(self._world.table.read(key))
        await self._gate.trip()
        return found and Row(**found)

    async def scan(self, prefix):
        await self._enter()
        found = [Row(**copy.deepcopy(row)) for row in self._world.table.scan(prefix)]
        await self._gate.trip()
        return found

    async def commit(self, transaction):
        await self._enter()
        table = self._world.table
        conditions, writes = copy.deepcopy(transaction)
        version, conflicts = table.commit(conditions, writes)
        lost = table.consume_reply_loss()
        await self._gate.trip()
        if lost:
            raise ReplyLost("lost")
        if conflicts:
            raise ConditionFailed(conflicts)
        return version

    async def put(self, name, content):
        await self._gate.trip()
        if self._world.object_faults["down"] or self.cut:
            raise StoreUnavailable("down")
        self._world.objects[name] = content

    async def get(self, name):
        await self._gate.trip()
        if self._world.object_faults["down"] or self.cut:
            raise StoreUnavailable("down")
        return self._world.objects.get(name)

    async def list_vms(self):
        await self._gate.trip()
        if self._world.list_faults["down"] or self.cut:
            raise StoreUnavailable("down")
        return [_vm(entry) for entry in self._world.listed()]


def _vm(entry):
    own = {"domain": entry["domain"], "data-centre": entry["data_centre"]}
    fields = {**entry, "labels": {**entry["labels"], **own}}
    fields["kind"] = TargetKind(entry["kind"])
    fields["state"] = VmState(entry["state"])
    return VM(**fields)


class FakeTargets:
    """Engines and services as one daemon reaches them."""

    def __init__(self, world, gate, probe_timeout_s=TIMEOUT_S):
        self._world = world
        self._gate = gate
        self._probe_timeout_s = probe_timeout_s

    async def _target(self, address, timeout_s, sent=True):
        await self._gate.trip()
        target = self._world.find(address.rsplit("/", 1)[1])
        if target is None or target.faults["dead"]:
            raise TargetUnreachable("refused", sent=False)
        if target.faults["frozen"]:
            await asyncio.sleep(timeout_s)
            raise TargetUnreachable("timeout", sent=sent)
        return target

    async def probe(self, address):
        target = await self._target(address, self._probe_timeout_s, sent=False)
        found = target.status()
        load = EngineLoad(**found.pop("load"))
        prefixes = tuple(found.pop("prefixes", ()))
        await self._gate.trip()
        return EngineStatus(**found, load=load, prefixes=prefixes)

    async def order(self, address, order):
        target = await self._target(address, 2.0)
        delay_s = target.faults.get("order_delay_s", 0.0)
        await asyncio.sleep(delay_s)
        try:
            target.order(order._asdict())
        except Refused as error:
            raise TargetRefused(str(error)) from error
        finally:
            await self._gate.trip()

    async def generate(self, address, request):
        target = await self._target(address, 5.0)
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
            async with aclosing(self._events(target, sequence)) as batches:
                async for events in batches:
                    yield events
        finally:
            target.cancel(sequence.attempt)

    async def _events(self, target, sequence):
        while True:
            try:
                event = await asyncio.wait_for(sequence.events.get(), 5.0)
            except TimeoutError as error:
                raise TargetUnreachable("timeout") from error
            await self._gate.trip()
            if event is None or target.faults["dead"]:
                raise TargetUnreachable("broken")
            yield [event.removesuffix(b"\n\n")]
            if b"data: [DONE]" in event:
                return

    async def refuses_connections(self, address):
        await self._gate.trip()
        target = self._world.find(address.rsplit("/", 1)[1])
        return target is not None and target.faults["dead"]

    async def cancel(self, address, attempt_id):
        try:
            target = await self._target(address, 2.0)
        except TargetUnreachable:
            return
        target.cancel(attempt_id)

    async def call(self, address, operation, attempt_id, body):
        target = await self._target(address, 5.0)
        if _take(target.faults, "drop_unread"):
            raise TargetUnreachable("broken")
        try:
            answer = await target.call(operation, attempt_id, body)
        except Refused as error:
            raise TargetRefused(str(error)) from error
        if target.faults["dead"] or _take(target.faults, "drop_before_answer"):
            raise TargetUnreachable("broken")
        if _take(target.faults, "wrong_attempt"):
            raise MalformedResponse("another call's answer")
        await self._gate.trip()
        return ServiceResponse(200, "application/json", str(answer).encode())


def _take(faults, name):
    if not faults.get(name):
        return False
    faults[name] -= 1
    return True


async def _handled(coroutine):
    """Run a peer's handler; if the peer crashes under it, the connection breaks."""
    task = asyncio.create_task(coroutine)
    await asyncio.wait((task,))
    if task.cancelled():
        raise PeerUnreachable("broken")
    return task.result()


class FakeNetwork:
    """Links between daemons, by address."""

    def __init__(self):
        self.handlers = {}
        self.gates = {}
        self.cut = set()

    def linked(self, a, b):
        """Return whether two daemons reach each other."""
        return frozenset((a, b)) not in self.cut


class FakePeers:
    """The network as one daemon sees it."""

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
                await self._gate.trip()
                handler = self._network.handlers.get(address)
                if handler is None:
                    raise PeerUnreachable("nobody listens")
                if not self._network.linked(self._address, address):
                    await asyncio.sleep(timeout_s + 1)
                await self._network.gates[address].trip()
                answer = await _handled(getattr(handler, name)(message))
                if not self._network.linked(self._address, address):
                    await asyncio.sleep(timeout_s + 1)
                await self._gate.trip()
                return answer
        except TimeoutError as error:
            raise PeerUnreachable("timeout") from error
