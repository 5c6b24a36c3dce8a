"""Callers that stream while engines pause, and what they lose."""

import asyncio
from collections import Counter
from typing import NamedTuple

import aiohttp

from features.support.paused_site import STREAM_ROUTES
from features.support.platform_site import HOST, KEY, USUAL_PREFIX, stream_events

__all__ = ["StreamCall", "StreamRun", "stream_beside"]

SEND_INTERVAL_S = 0.05
LEAD_S = 0.2
"""Time from the start of the callers to that of the run."""
STREAM_S = 2.0
"""Time for which callers start streams after the last pause."""
BUDGET_S = 8.0
REFUSAL_STATUS = 503
TIME_USED_S = 6.9
"""Time from which a stream has used its shortest time limit."""
KIND_NAMES = dict(zip(STREAM_ROUTES, ("resumable", "not resumable"), strict=True))
MODELS = ("large", "small", "small")
"""Models in proportion to the number of their groups."""


class StreamCall(NamedTuple):
    """A stream as its caller saw it. Times are seconds from the start of the run.

    :param attempt_id: the caller's attempt id.
    :param name: last segment of the path.
    :param route: name of its route.
    :param sent_s: when it was sent.
    :param begun_s: when the first event came, or ``None``.
    :param ended_s: when the answer ended.
    :param status: HTTP status, or ``None`` without an answer.
    :param body: received part of the body.
    """

    attempt_id: str
    name: str
    route: str
    sent_s: float
    begun_s: float | None
    ended_s: float
    status: int | None
    body: bytes

    @property
    def is_whole(self):
        """Whether each event came once and in order."""
        return self.status == 200 and self.body == b"".join(stream_events(self.name))

    @property
    def has_used_its_time(self):
        """Whether its time limit had passed at its end."""
        return self.ended_s - self.sent_s >= TIME_USED_S

    @property
    def kind(self):
        """Its kind and how far it came."""
        part = "before" if self.begun_s is None else "after"
        return f"{KIND_NAMES[self.route]}, {part} its first event"

    def is_in_flight(self, at_s):
        """Whether it was in flight at a time in seconds from the start of the run."""
        return self.sent_s <= at_s < self.ended_s


class StreamRun(NamedTuple):
    """All streams of a run and the pauses in it.

    :param calls: list of :class:`StreamCall`
    :param pauses: list of :class:`~features.support.paused_site.Pause`
    :param passed_on_ids: attempt ids of the streams that a target has received.
    """

    calls: list
    pauses: list
    passed_on_ids: set

    @property
    def late_calls(self):
        """Streams that have used their time."""
        return [call for call in self.calls if call.has_used_its_time]

    @property
    def passed_on_calls(self):
        """Streams that a target has received."""
        return [call for call in self.calls if call.attempt_id in self.passed_on_ids]

    @property
    def refused_calls(self):
        """Streams that were refused and that no target has received."""
        return [
            call
            for call in self.calls
            if call.status == REFUSAL_STATUS
            and call.attempt_id not in self.passed_on_ids
        ]

    @property
    def lost_calls(self):
        """Streams that were accepted and ended without a whole answer too early."""
        refused = set(self.refused_calls)
        return [
            call
            for call in self.calls
            if not call.is_whole and not call.has_used_its_time and call not in refused
        ]

    def in_flight(self, pause):
        """Return the streams in flight at the start of a pause, or sent in it."""
        return [
            call
            for call in self.calls
            if call.is_in_flight(pause.at_s)
            or pause.at_s <= call.sent_s < pause.ends_at_s
        ]

    def report(self):
        """Return a text that says how many streams were lost when, by kind."""
        lost = self.lost_calls
        lines = [
            f"{len(lost)} of {len(self.calls)} streams were lost: {_count_kinds(lost)}",
            f"{len(self.late_calls)} used their time: {_count_kinds(self.late_calls)}",
            f"{len(self.refused_calls)} were refused",
        ]
        next_starts = [pause.at_s for pause in self.pauses[1:]] + [float("inf")]
        for pause, next_s in zip(self.pauses, next_starts, strict=True):
            ended = [call for call in lost if pause.at_s <= call.ended_s < next_s]
            lines.append(self._report_pause(pause, ended))
        return "\n".join(lines)

    def _report_pause(self, pause, lost):
        """Return a line about a pause and the streams lost from its start on."""
        in_flight = self.in_flight(pause)
        earlier = [call for call in in_flight if call.sent_s < pause.at_s]
        lost_earlier = [call for call in lost if call.sent_s < pause.at_s]
        return (
            f"{pause.heads} silent for {pause.duration_s} s: lost {len(lost_earlier)} "
            f"of {len(earlier)} in flight and {len(lost) - len(lost_earlier)} of "
            f"{len(in_flight) - len(earlier)} sent meanwhile: {_count_kinds(lost)}"
        )


def _count_kinds(calls):
    return dict(sorted(Counter(call.kind for call in calls).items()))


async def _stream(session, site, number, started_at):
    """Send one stream at its time and return its :class:`StreamCall`."""
    loop = asyncio.get_running_loop()
    route = STREAM_ROUTES[number % len(STREAM_ROUTES)]
    model = MODELS[number // len(STREAM_ROUTES) % len(MODELS)]
    fronts = list(site.front_addresses.values())
    front = fronts[number // (len(STREAM_ROUTES) * len(MODELS)) % len(fronts)]
    name = f"{USUAL_PREFIX}{number}"
    headers = {
        "Host": HOST,
        "X-Attempt-Id": f"paused{number}",
        "X-Model": model,
        "X-Time-Budget-Ms": str(int(BUDGET_S * 1000)),
        "Authorization": f"Bearer {KEY}",
    }
    await asyncio.sleep(started_at + number * SEND_INTERVAL_S - loop.time())
    sent_s = loop.time() - started_at
    status, begun_s, body = None, None, b""
    try:
        async with session.post(
            f"http://{front}/{route}/{name}", headers=headers
        ) as response:
            status = response.status
            async for piece in response.content.iter_any():
                if begun_s is None and status == 200:
                    begun_s = loop.time() - started_at
                body += piece
    except aiohttp.ClientError:
        # The daemon has closed the connection, which the checks judge.
        pass
    ended_s = loop.time() - started_at
    return StreamCall(
        headers["X-Attempt-Id"], name, route, sent_s, begun_s, ended_s, status, body
    )


async def _disturb(site, disturbances, with_changes, with_pauses, started_at):
    loop = asyncio.get_running_loop()
    for change, changed_at_s, pause in disturbances:
        await asyncio.sleep(started_at + changed_at_s - loop.time())
        if with_changes:
            site.change_configuration(change)
        await asyncio.sleep(started_at + pause.at_s - loop.time())
        if with_pauses:
            await site.pause(pause.heads, pause.duration_s)


async def stream_beside(site, disturbances, with_changes, with_pauses):
    """Stream at all daemons at a steady rate during some disturbances.

    :param site: :class:`~features.support.paused_site.PausedSite`
    :param disturbances: sequence of
        :class:`~features.support.paused_site.Disturbance`
    :param with_changes: whether the configuration is changed.
    :param with_pauses: whether engines pause.
    :returns: :class:`StreamRun`
    """
    started_at = asyncio.get_running_loop().time() + LEAD_S
    duration_s = disturbances[-1].pause.ends_at_s + STREAM_S
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        *calls, _ = await asyncio.gather(
            *(
                _stream(session, site, number, started_at)
                for number in range(int(duration_s / SEND_INTERVAL_S))
            ),
            _disturb(site, disturbances, with_changes, with_pauses, started_at),
        )
    pauses = [each.pause for each in disturbances]
    return StreamRun(calls, pauses, set(site.stream_attempt_ids))
