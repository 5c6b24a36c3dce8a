"""A platform whose store, daemons and targets lose power together, and its callers."""

import asyncio
import itertools
import random
import socket
from typing import NamedTuple

import aiohttp

from features.support.engine_world import SERVICE
from features.support.platform_site import (
    ENTRY_LAPSE_S,
    HOST,
    KEY,
    PlatformSite,
    route_entry,
    stream_events,
)

__all__ = ["TIME_BUDGET_S", "Answer", "PowerCutCallers", "PowerCutSite"]

PATHS = ("/draft/", "/tell/", "/book/", "/look/")
"""Prefixes of the paths that callers use: streams that may be resumed, streams that may
not, plain requests that run once, plain requests that may be repeated."""
STREAM_PATHS = PATHS[:2]
MODELS = ("large", "small")
CALLER_COUNT = 12
THINK_TIME_RANGE_S = (0.02, 0.1)
TIME_BUDGET_S = 6.0
"""Time that callers wait for an answer."""
GOOD_ROUNDS_REQUIRED = 3
"""Consecutive rounds in which every daemon must serve every kind of request."""
ROUND_INTERVAL_S = 0.2
REWRITE_DELAY_S = 2.0
"""Time from the return of the store until the operator writes its lost row again."""
QUEUED_CONNECTIONS = 2
"""Connections that fill the queue of a socket that listens with a backlog of 0."""
_attempt_numbers = itertools.count(1)


class Answer(NamedTuple):
    """What a caller got.

    :param path: path of the request.
    :param attempt_id: id of the attempt.
    :param began_at: loop time in seconds.
    :param took_s: seconds from the request to the end of its answer.
    :param status: HTTP status, or ``None`` without an answer.
    :param headers: headers of the answer.
    :param body: body of the answer; ``None`` if it did not end as HTTP says.
    :param is_refused: whether the connection was refused.
    """

    path: str
    attempt_id: str
    began_at: float
    took_s: float
    status: int | None
    headers: dict
    body: bytes | None
    is_refused: bool

    @property
    def is_served(self):
        """Whether it is the whole answer of a target."""
        prefix, _, name = self.path.rpartition("/")
        is_stream = f"{prefix}/" in STREAM_PATHS
        expected = b"".join(stream_events(name)) if is_stream else b"done"
        return self.status == 200 and self.body == expected


class _DeadAddress:
    """An address of a machine without power: connections to it are never answered.

    :param address: ``ip:port``
    """

    def __init__(self, address):
        host, port = address.rsplit(":", 1)
        listener = socket.create_server((host, int(port)), backlog=0)
        self._sockets = [listener]
        for _ in range(QUEUED_CONNECTIONS):
            queued = socket.socket()
            queued.setblocking(False)
            queued.connect_ex((host, int(port)))
            self._sockets.append(queued)

    def close(self):
        """Refuse connections from now on."""
        for each in self._sockets:
            each.close()


class PowerCutSite(PlatformSite):
    """A platform whose parts lose power together and get it back in turn."""

    def __init__(self):
        super().__init__()
        self.copies = {"its last rows": None}
        """Older copies of the store by description."""
        self._lost_engines = []
        self._plain_addresses = {}
        self._lost_plain_names = ()
        self._dead_addresses = {}
        self._has_store_returned = self._have_targets_returned = False

    async def start(self):
        """Start everything, and copy the store before any daemon has written to it."""
        await super().start()
        self.copies["a copy that lacks a route"] = self.store.copy()
        self.extra_routes.append(route_entry("tell", "/tell/", "streaming", SERVICE))
        self.write_configuration()
        self.copies["a copy from before any daemon had begun"] = self.store.copy()

    @property
    def executed_ids(self):
        """Attempt ids of all requests that a target began to run."""
        plain_ids = {execution.attempt_id for execution in self.executions}
        return plain_ids | set(self.stream_attempt_ids)

    def publish_plain_target(self, name, address, state="ready"):
        """Write the list entry of a plain target."""
        self._plain_addresses[name] = address
        super().publish_plain_target(name, address, state)

    def cut_power(self):
        """Stop the store, all daemons and all targets at the same moment."""
        for process in self.processes.values():
            process.kill()
        self._publishing.cancel()
        for server in self._servers:
            self.stop_listening(None, server)
        self._lost_plain_names = tuple(self._plain_addresses)
        self._lost_engines = list(self.world.engines.values())
        self.world.engines.clear()
        target_addresses = (*self._addresses.values(), *self._plain_addresses.values())
        self._dead_addresses = {
            address: _DeadAddress(address)
            for address in (self.store_address, *target_addresses)
        }

    async def stop(self):
        """Stop everything."""
        for address in list(self._dead_addresses):
            self._revive(address)
        await super().stop()

    def _revive(self, address):
        self._dead_addresses.pop(address).close()

    async def return_daemons(self):
        """Start the daemons again, which remember nothing."""
        for name, process in self.processes.items():
            process.wait()
            self.start_daemon(name)

    async def return_targets(self):
        """Start the targets again, as new incarnations under new ids."""
        for address in set(self._dead_addresses) - {self.store_address}:
            self._revive(address)
        for engine in self._lost_engines:
            await self._serve_engine(self.world.restart_under_new_id(engine))
        self._have_targets_returned = True
        await self._add_plain_targets()

    async def return_store(self, copy=None):
        """Start the store, to which targets write from then on.

        :param copy: older copy that it comes back from; its last rows by default.
        """
        if copy is not None:
            self.store.restore(copy)
            loop = asyncio.get_running_loop()
            loop.call_later(
                REWRITE_DELAY_S, self.store.rewrite_lost_row, "op", "config"
            )
        self._revive(self.store_address)
        await self._serve(self.store.app(), self.store_address)
        lapse_at = asyncio.get_running_loop().time() + ENTRY_LAPSE_S
        for engine_id in self._published_entries:
            self._entry_lapse_at[engine_id] = lapse_at
        self._publishing = asyncio.create_task(self._publish())
        self._tasks += [self._publishing, asyncio.create_task(self._drop_plain_rows())]
        self._has_store_returned = True
        await self._add_plain_targets()

    async def _add_plain_targets(self):
        """Start the plain targets again once they can register."""
        if self._has_store_returned and self._have_targets_returned:
            for name in self._lost_plain_names:
                await self._add_plain_target(f"{name}-again")

    async def _drop_plain_rows(self):
        await asyncio.sleep(ENTRY_LAPSE_S)
        for name in self._lost_plain_names:
            self.store.drop("servers", name)


class PowerCutCallers:
    """Callers that use all daemons without asking whether these are ready.

    :param site: :class:`PowerCutSite`
    """

    def __init__(self, site):
        self._site = site
        self._rng = random.Random(1)
        self.answers = []

    async def run(self):
        """Send requests until cancelled."""
        async with asyncio.TaskGroup() as group:
            for _ in range(CALLER_COUNT):
                group.create_task(self._run_caller())

    async def _run_caller(self):
        async with aiohttp.ClientSession() as session:
            while True:
                await asyncio.sleep(self._rng.uniform(*THINK_TIME_RANGE_S))
                front = self._rng.choice(list(self._site.front_addresses.values()))
                prefix, model = self._rng.choice(PATHS), self._rng.choice(MODELS)
                self.answers.append(await self._send(session, front, prefix, model))

    async def _send(self, session, front, prefix, model):
        loop, attempt_id = asyncio.get_running_loop(), f"p{next(_attempt_numbers)}"
        path, began_at = f"{prefix}{attempt_id}", loop.time()
        headers = {
            "Host": HOST,
            "X-Attempt-Id": attempt_id,
            "X-Model": model,
            "X-Time-Budget-Ms": str(int(TIME_BUDGET_S * 1000)),
            "Authorization": f"Bearer {KEY}",
        }
        status, answer_headers, body, is_refused = None, {}, None, False
        timeout = aiohttp.ClientTimeout(total=TIME_BUDGET_S + 1.0)
        try:
            async with session.post(
                f"http://{front}{path}", headers=headers, timeout=timeout
            ) as response:
                status, answer_headers = response.status, dict(response.headers)
                body = await response.read()
        except aiohttp.ClientConnectorError:
            is_refused = True
        except (aiohttp.ClientError, TimeoutError):
            # The missing body tells the checks that the answer is not whole.
            pass
        took_s = loop.time() - began_at
        return Answer(
            path, attempt_id, began_at, took_s, status, answer_headers, body, is_refused
        )

    async def wait_until_serving(self, timeout_s):
        """Wait until every daemon serves every kind of request.

        :param timeout_s: seconds after which the wait ends.
        :returns: the seconds that it took, or ``None`` if the time did not suffice.
        """
        loop, good_rounds = asyncio.get_running_loop(), 0
        began_at = loop.time()
        async with aiohttp.ClientSession() as session:
            while loop.time() < began_at + timeout_s:
                answers = await asyncio.gather(
                    *(
                        self._send(session, front, prefix, model)
                        for front in self._site.front_addresses.values()
                        for prefix in PATHS
                        for model in MODELS
                    )
                )
                self.answers += answers
                is_good = all(answer.is_served for answer in answers)
                good_rounds = good_rounds + 1 if is_good else 0
                if good_rounds == GOOD_ROUNDS_REQUIRED:
                    return loop.time() - began_at
                await asyncio.sleep(ROUND_INTERVAL_S)
        return None
