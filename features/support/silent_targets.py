"""Streams at targets that fall silent, in virtual time."""

import asyncio
import functools
import random
from typing import NamedTuple

from cowslipcourse.emulator.clock import run_in_virtual_time
from cowslipcourse.emulator.messages import MessageNetwork
from cowslipcourse.emulator.site_file import SiteSettings
from cowslipcourse.entry.attempts import Attempt, TargetRun
from cowslipcourse.entry.calls import Call
from cowslipcourse.entry.context import DaemonContext
from cowslipcourse.entry.fleet_view import FleetView
from cowslipcourse.entry.forwarder import Forwarder
from cowslipcourse.entry.host_checks import answers_nothing
from cowslipcourse.entry.reachability_monitor import ReachabilityMonitor
from cowslipcourse.entry.silence_detector import SilenceDetector, WatchedStream
from cowslipcourse.entry.target_conditions import TargetConditions
from cowslipcourse.exceptions import RequestError
from cowslipcourse.platform.headers import CallerHeaders
from cowslipcourse.quarantine import VerdictStore, fingerprint
from cowslipcourse.quarantine_runtime import Quarantine, TargetExitDetector
from cowslipcourse.rate_limit_runtime import RateLimiter
from features.support.daemon_parts import InOrder, daemon_settings
from features.support.limiter_peers import RecordingPeers
from features.support.saved_budgets import saved_budget
from features.support.scripted_streams import (
    ScriptedHosts,
    ScriptedSender,
    ServedConnection,
)
from features.support.stream_lists import (
    DEADLINE_S,
    PLACES,
    SERVICE,
    changed_table,
    listed_changes,
    route_table,
    stream_route,
    target_entry,
)

__all__ = ["Stop", "StreamRun", "StreamSite", "stream_at_targets"]

SITE = SiteSettings(domains={"d": "x"}, engines_a_domain=1, models=(), kinds=())


class Stop(NamedTuple):
    """A graceful stop of the daemon. Times are in seconds.

    :param at_s: time after the stream was sent.
    :param grace_s: time until requests that are in progress are ended.
    """

    at_s: float
    grace_s: float


class StreamRun(NamedTuple):
    """What a stream's caller and targets have seen.

    :param event_ids: ids of the events that the caller got, in order.
    :param is_complete: whether the caller got the end of the stream.
    :param error: class name of the error for the caller, or empty.
    :param ended_after_s: seconds until the request ended.
    :param sent_to: numbers of the targets that it was sent to, in order.
    :param superseded: numbers of those where another target delivered first.
    :param left_open: numbers of the targets that still ran it at its end.
    :param hedge_counts: number of hedges by outcome.
    :param suspected: ids of the targets that were suspected.
    """

    event_ids: list
    is_complete: bool
    error: str
    ended_after_s: float
    sent_to: list
    superseded: list
    left_open: list
    hedge_counts: dict
    suspected: list


class _Responder:
    """Collects the events that the caller gets.

    :param send_s: seconds for which the caller delays each piece.
    """

    def __init__(self, send_s):
        self.started = False
        self.content = b""
        self.is_complete = False
        self._send_s = send_s

    async def start(self, status, headers):
        self.started = True

    async def send_chunk(self, content):
        await asyncio.sleep(self._send_s)
        self.content += content

    async def finish(self, body=b""):
        self.content += body
        self.is_complete = True


class StreamSite:
    """A daemon that forwards one stream to scripted targets.

    :param scripts: :class:`TargetScript` of each target, in order of their choice.
    :param route: :class:`~cowslipcourse.routes.Route` of the stream.
    :param has_retry_budget: whether the budget allows retries.
    :param caller_send_s: seconds for which the caller delays each piece.
    :param stop: :class:`Stop` or ``None``.
    :param new_configuration_after_s: seconds until another configuration is in force,
        or ``None``.
    :param new_configuration: name of its change, as in :func:`_new_table`.
    :param host: :class:`HostScript`, or ``None`` if hosts accept connections until
        their targets end.
    :param suspected: numbers of the targets that are suspected for 8 s.
    :param listed_before: change of the list, as in :func:`_list_changes`, from which
        the first target is chosen; empty for none.
    """

    def __init__(
        self,
        scripts,
        route,
        has_retry_budget,
        caller_send_s=0.0,
        stop=None,
        new_configuration_after_s=None,
        new_configuration="with the same content",
        host=None,
        suspected=(),
        listed_before="",
    ):
        self._scripts = scripts
        self._route = route
        self._stop = stop
        self.fleet = FleetView()
        self.fleet.apply([target_entry(number) for number in range(len(scripts))], ())
        if listed_before:
            self.fleet.apply(*listed_changes(target_entry(0), listed_before))
        for number in suspected:
            self._suspect_long(f"t{number}")
        limiter = RateLimiter(RecordingPeers(), None, random.Random(1))
        conditions = TargetConditions(limiter, self.fleet)
        hosts = ScriptedHosts(scripts, host)
        reachability = ReachabilityMonitor(
            self.fleet,
            random.Random(1),
            lambda: 0.0,
            lambda: None,
            hosts.accepts_connections,
            functools.partial(answers_nothing, connect=hosts.connect),
        )
        self._suspected = set()
        self._detector = SilenceDetector(
            self.fleet, reachability.is_host_lost, self._record_suspects
        )
        self.sender = ScriptedSender(scripts, self.fleet, conditions)
        network = MessageNetwork(SITE, random.Random(1))
        settings = daemon_settings()
        now = asyncio.get_running_loop().time()
        budget = saved_budget(settings.retries, [SERVICE], now)
        if not has_retry_budget:
            budget.try_take = lambda service, now, is_hedge: False
        self.context = DaemonContext(
            settings,
            self.fleet,
            self.sender,
            budget,
            self._detector,
            conditions,
            Quarantine(
                network.peers_of("a"),
                TargetExitDetector(self.fleet.is_expected),
                VerdictStore(None, lambda: 0.0),
            ),
            InOrder(),
        )
        self._new_configuration_after_s = new_configuration_after_s
        self._new_configuration = new_configuration
        self.context.table = route_table(1, (self._route,))
        self._responder = _Responder(caller_send_s)

    def watch(self):
        """Start to look for silent targets and return the task that does so."""
        return asyncio.create_task(self._detector.run())

    async def run(self):
        """Forward the stream and return its :class:`StreamRun`."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        watching = self.watch()
        for number, script in enumerate(self._scripts):
            for at_s, change in script.list_changes:
                changes = listed_changes(target_entry(number), change)
                loop.call_at(began_at + at_s, self.fleet.apply, *changes)
        self._set_full(scripts=self._scripts)
        self._serve_others(began_at)
        if self._new_configuration_after_s is not None:
            loop.call_later(self._new_configuration_after_s, self._change_configuration)
        if self._stop is not None:
            stop_at = began_at + self._stop.at_s
            ends_at = stop_at + self._stop.grace_s
            loop.call_at(stop_at, self.context.stop.begin, ends_at, stop_at)
            loop.call_at(ends_at, self.context.stop.end_requests)
        error = ""
        try:
            await Forwarder(self.context).forward(
                _call(self._route, began_at), self._responder
            )
        except RequestError as raised:
            error = type(raised).__name__
        watching.cancel()
        lines = self._responder.content.decode().splitlines()
        ids = [int(line[4:]) for line in lines if line.startswith("id: ")]
        connections = self.sender.connections
        return StreamRun(
            ids,
            self._responder.is_complete,
            error,
            loop.time() - began_at,
            self.sender.sent_to,
            [number for number, connection in connections if connection.is_superseded],
            [number for number, connection in connections if connection.is_open],
            getattr(self.context, "hedge_counts", {}),
            sorted(self._suspected),
        )

    def _suspect_long(self, target):
        """Suspect a target as after many silences in a row."""
        now = asyncio.get_running_loop().time()
        for before_s in (9.0, 7.0, 4.0, 0.0):
            self.fleet.suspect(target, now - before_s)

    def _change_configuration(self):
        if self._new_configuration == "without any target":
            self.fleet.apply((), list(self.fleet.entries))
        self.context.table = changed_table(self._route, self._new_configuration)

    def _record_suspects(self):
        now = asyncio.get_running_loop().time()
        self._suspected |= self.fleet.suspects(now).keys()

    def _serve_others(self, now):
        """Let other streams be served, and queued, where targets do so."""
        loop = asyncio.get_running_loop()
        for number, script in enumerate(self._scripts):
            entry = target_entry(number)
            if script.serves_others:
                attempt = Attempt(entry, ServedConnection(), now, None, None)
                other = WatchedStream(attempt, TargetRun(entry), "other")
                other.has_events = True
                self._detector.add(other)
            if script.queue_from_s is not None:
                loads = {entry.id: PLACES * 2}
                queued_at = now + script.queue_from_s
                loop.call_at(queued_at, self.fleet.set_peers_in_flight, loads)

    def _set_full(self, scripts):
        """Let other daemons take the places of targets for some time."""
        full = {
            f"t{number}": PLACES * 2
            for number, script in enumerate(scripts)
            if script.is_full_for_s
        }
        self.fleet.set_peers_in_flight(full)
        duration_s = max(script.is_full_for_s for script in scripts)
        loop = asyncio.get_running_loop()
        loop.call_later(duration_s, self.fleet.set_peers_in_flight, {})


def _call(route, now):
    return Call(
        id="a1",
        method="POST",
        path=b"/",
        headers=(),
        body=b"",
        fingerprint=fingerprint(None, b"/", b""),
        caller_headers=CallerHeaders(b"a1"),
        route=route,
        workspace=None,
        arrived_at=now,
        deadline=now + DEADLINE_S,
    )


def stream_at_targets(
    scripts, is_resumable=True, max_attempts=2, has_retry_budget=True, **options
):
    """Forward a stream in virtual time and return its :class:`StreamRun`.

    :param scripts: :class:`~features.support.scripted_streams.TargetScript` of each
        target.
    :param is_resumable: whether the stream may be resumed at another target.
    :param max_attempts: number of targets that it may be sent to.
    :param has_retry_budget: whether the budget allows retries.
    :param options: further parameters of :class:`StreamSite`.
    """
    route = stream_route(is_resumable, max_attempts)

    async def run():
        return await StreamSite(scripts, route, has_retry_budget, **options).run()

    return run_in_virtual_time(run())
