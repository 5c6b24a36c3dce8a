"""How verdicts on requests spread over daemons' own links, in fake time."""

import asyncio
from types import SimpleNamespace
from typing import NamedTuple

from cowslipcourse.emulator.clock import run_paused
from cowslipcourse.entry.attempts import TargetRun
from cowslipcourse.entry.fleet import FleetView
from cowslipcourse.peers import encode
from cowslipcourse.ports import RowChanges, TargetEntry
from cowslipcourse.quarantine import VerdictStore
from cowslipcourse.quarantining import Quarantine, TargetExitDetector
from features.support.daemon_network import HEADER_BYTES, DaemonNetwork

__all__ = ["KNOWN_WITHIN_S", "Spread", "SpreadStory", "play_spread"]

SETTLE_S = 2.0
KNOWN_WITHIN_S = 2.5
WATCHED_S = 4.0
BETWEEN_ENDS_S = 0.2
CALL = SimpleNamespace(id="a1", fingerprint=b"f" * 16)


class SpreadStory(NamedTuple):
    """What happens.

    :param shape: :class:`~features.support.daemon_network.Shape`
    :param ends: targets that end under the request, each seen by another daemon.
    :param cut: daemons that are cut off meanwhile.
    :param cut_s: seconds from the last end until they are heard again.
    """

    shape: object
    ends: int = 3
    cut: int = 0
    cut_s: float = 0.0


class Spread(NamedTuple):
    """What became of it.

    :param refusing: whether each daemon refuses the request in the end.
    :param told_bytes: bytes that each daemon sent for it until then.
    :param repeated_bytes: bytes a second that each daemon sends for it after that.
    """

    refusing: list[bool]
    told_bytes: list[int]
    repeated_bytes: list[float]


class _Store:
    """A store that keeps nothing: datagrams alone must do."""

    async def read_table(self, table):
        return RowChanges((), 1)

    async def write(self, row_write):
        return 2


class _CountingPeers:
    """A daemon's link, which counts what is sent for quarantines."""

    def __init__(self, link):
        self._link = link
        self.sent_bytes = 0

    def __getattr__(self, name):
        return getattr(self._link, name)

    def send(self, message, addresses):
        length = len(encode(message)) + HEADER_BYTES
        self.sent_bytes += length * len(addresses)
        self._link.send(message, addresses)


def _entry(number):
    return TargetEntry(f"t{number}", "s", f"10.0.0.{number}:1", "x", 6)


async def _refuses(address):
    return True


def _attach(daemon):
    fleet = FleetView()
    fleet.apply([_entry(number) for number in range(3)], ())
    kept = VerdictStore(_Store(), lambda: 0.0)
    peers = _CountingPeers(daemon.link)
    daemon.quarantine = Quarantine(
        peers, TargetExitDetector(fleet.is_expected, _refuses), kept
    )
    return peers


def _see_end(daemon, number):
    run = TargetRun(_entry(number))
    run.answer_started = run.ended_by_target = True
    daemon.quarantine.note_failed(CALL, run)


async def _play(story, network):
    daemons = network.daemons
    peers = [_attach(daemon) for daemon in daemons]
    tasks = [asyncio.create_task(d.quarantine.run()) for d in daemons]
    step = max(1, len(daemons) // max(1, story.cut))
    cut = daemons[1::step][: story.cut]
    for daemon in cut:
        daemon.is_down = True
    witnesses = [daemon for daemon in daemons if daemon not in cut]
    for number in range(story.ends):
        await asyncio.sleep(BETWEEN_ENDS_S)
        _see_end(witnesses[number * len(witnesses) // story.ends], number)
    await asyncio.sleep(story.cut_s)
    for daemon in cut:
        daemon.is_down = False
    await asyncio.sleep(KNOWN_WITHIN_S)
    refusing = [d.quarantine.is_quarantined(CALL) for d in daemons]
    told = [each.sent_bytes for each in peers]
    await asyncio.sleep(WATCHED_S)
    for task in tasks:
        task.cancel()
    sent = [each.sent_bytes for each in peers]
    repeated = [(b - a) / WATCHED_S for a, b in zip(told, sent, strict=True)]
    return Spread(refusing, told, repeated)


def play_spread(story):
    """Play a :class:`SpreadStory` and return the :class:`Spread`."""
    network = DaemonNetwork(story.shape)
    found = []

    async def then():
        found.append(await _play(story, network))

    run_paused(network.run(SETTLE_S / 2, then))
    return found[0]
