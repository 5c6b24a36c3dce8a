"""Many streams of one daemon whose targets are all silent, in virtual time."""

import asyncio
import gc
import tracemalloc
from typing import NamedTuple

from cowslipcourse.emulator.clock import run_in_virtual_time
from cowslipcourse.entry.caller_app import FrontApp
from cowslipcourse.entry.forwarder import Forwarder
from features.support.scripted_streams import EVENT_COUNT, TargetScript
from features.support.silent_targets import StreamSite
from features.support.stream_lists import stream_route

__all__ = ["FleetRun", "Observation", "streams_at_silent_fleet"]

BODY = b"x" * 1500
OK, REFUSED = 200, 503


class Observation(NamedTuple):
    """What a daemon holds at one moment.

    :param open_by_target: number of open connections by target.
    :param in_flight: requests in flight at all targets.
    :param pending: requests that are not answered.
    :param bytes_per_stream: memory taken since the start, by the streams sent.
    """

    open_by_target: tuple[int, ...]
    in_flight: int
    pending: int
    bytes_per_stream: float


class FleetRun(NamedTuple):
    """What the callers of many streams have seen.

    :param callers: list of :class:`StreamCaller`
    :param observations: :class:`Observation` by virtual time in seconds.
    :param looks: number of times that targets were sought, by virtual second.
    """

    callers: list
    observations: dict
    looks: dict


class StreamCaller:
    """A caller as an ASGI server presents it, which returns when it is told to.

    :param app: :class:`~cowslipcourse.entry.caller_app.FrontApp`
    :param number: number of the caller.
    :param max_tries: most requests that it sends.
    """

    def __init__(self, app, number, max_tries):
        self._app = app
        self._number = number
        self._max_tries = max_tries
        self._left = asyncio.Event()
        self.tries = 0
        self.refused_after_s = []
        self.retry_after_s = []
        self.is_whole = False

    def leave(self):
        """Close the connection."""
        self._left.set()

    async def run(self):
        """Send the request until it is answered with success, or too often."""
        loop = asyncio.get_running_loop()
        while self.tries < self._max_tries and not self._left.is_set():
            self.tries += 1
            exchange = _Exchange(self._left)
            sent_at = loop.time()
            await self._app(self._scope(), exchange.receive, exchange.send)
            if exchange.status != REFUSED:
                self.is_whole = exchange.is_whole
                return
            self.refused_after_s.append(loop.time() - sent_at)
            self.retry_after_s.append(float(exchange.headers[b"retry-after"]))
            await asyncio.sleep(self.retry_after_s[-1])

    def _scope(self):
        attempt_id = b"a%d-%d" % (self._number, self.tries)
        headers = [(b"host", b"h"), (b"x-attempt-id", attempt_id)]
        return {
            "type": "http",
            "method": "POST",
            "path": "/",
            "raw_path": b"/",
            "query_string": b"",
            "headers": headers,
        }


class _Exchange:
    """One request of a caller and its response."""

    def __init__(self, left):
        self._left = left
        self._is_sent = False
        self._is_complete = False
        self._content = b""
        self.status = None
        self.headers = {}

    @property
    def is_whole(self):
        """Whether all events came, and the end of the response."""
        events = self._content.count(b"id: ")
        return self._is_complete and self.status == OK and events == EVENT_COUNT

    async def receive(self):
        """See the ASGI specification."""
        if not self._is_sent:
            self._is_sent = True
            return {"type": "http.request", "body": BODY}
        await self._left.wait()
        return {"type": "http.disconnect"}

    async def send(self, message):
        """See the ASGI specification."""
        if message["type"] == "http.response.start":
            self.status = message["status"]
            self.headers = dict(message["headers"])
            return
        self._content += message.get("body", b"")
        self._is_complete = not message.get("more_body", False)


class _NoMetrics:
    """Counts nothing."""

    def observe_request(self, outcome, duration_s):
        """Ignore a request."""

    def count_cause(self, route, model, cause):
        """Ignore a cause."""


class _Fleet:
    """A daemon, its silent targets and its callers."""

    def __init__(self, target_count, stream_count, silent_s, max_tries):
        script = TargetScript(silences=((0.0, silent_s),))
        self._site = StreamSite([script] * target_count, stream_route(True, 2), True)
        self._target_count = target_count
        self._began_at = asyncio.get_running_loop().time()
        self._looks = {}
        self._count_looks()
        context = self._site.context
        app = FrontApp(context, Forwarder(context), _NoMetrics())
        self._callers = [
            StreamCaller(app, number, max_tries) for number in range(stream_count)
        ]

    def _count_looks(self):
        find = self._site.fleet.service_candidates

        def find_counted(service, now, tried_ids):
            second = int(now - self._began_at)
            self._looks[second] = self._looks.get(second, 0) + 1
            return find(service, now, tried_ids)

        self._site.fleet.service_candidates = find_counted

    async def run(self, observed_at_s, leave_at_s):
        """Send the streams and return the :class:`FleetRun`."""
        loop = asyncio.get_running_loop()
        watching = self._site.watch()
        if leave_at_s is not None:
            loop.call_at(self._began_at + leave_at_s, self._leave)
        gc.collect()
        tracemalloc.start()
        before_bytes = tracemalloc.get_traced_memory()[0]
        tasks = [asyncio.create_task(caller.run()) for caller in self._callers]
        observations = {}
        for at_s in observed_at_s:
            await asyncio.sleep(self._began_at + at_s - loop.time())
            gc.collect()
            taken_bytes = tracemalloc.get_traced_memory()[0] - before_bytes
            observations[at_s] = self._observe(tasks, taken_bytes)
        tracemalloc.stop()
        await asyncio.gather(*tasks)
        watching.cancel()
        return FleetRun(self._callers, observations, self._looks)

    def _leave(self):
        for caller in self._callers:
            caller.leave()

    def _observe(self, tasks, taken_bytes):
        open_numbers = [
            number
            for number, connection in self._site.sender.connections
            if connection.is_open
        ]
        return Observation(
            tuple(open_numbers.count(n) for n in range(self._target_count)),
            sum(self._site.fleet.in_flight.values()),
            sum(not task.done() for task in tasks),
            taken_bytes / len(self._callers),
        )


def streams_at_silent_fleet(
    target_count,
    stream_count,
    silent_s,
    observed_at_s=(),
    leave_at_s=None,
    max_tries=1,
):
    """Send streams at once to targets that are all silent at first.

    :param target_count: number of targets.
    :param stream_count: number of streams.
    :param silent_s: seconds until the targets send.
    :param observed_at_s: times of observations, in seconds.
    :param leave_at_s: time at which all callers leave, in seconds, or ``None``.
    :param max_tries: most requests that a caller sends.
    :returns: :class:`FleetRun`
    """

    async def run():
        fleet = _Fleet(target_count, stream_count, silent_s, max_tries)
        return await fleet.run(observed_at_s, leave_at_s)

    return run_in_virtual_time(run())
