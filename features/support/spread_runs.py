"""Simulate how quarantine verdicts spread between daemons, in simulated time."""

import asyncio
from types import SimpleNamespace
from typing import NamedTuple

from cowslipcourse.emulator.clock import run_in_virtual_time
from cowslipcourse.entry.attempts import TargetRun
from cowslipcourse.entry.fleet_view import FleetView
from cowslipcourse.peer_protocol import encode
from cowslipcourse.ports import RowChanges, TargetEntry
from cowslipcourse.quarantine import VerdictStore, part_fingerprints
from cowslipcourse.quarantine_runtime import Quarantine, TargetExitDetector
from cowslipcourse.quarantine_runtime.part_evaluation import PartEvaluation
from features.support.daemon_network import IP_UDP_HEADER_BYTES, DaemonNetwork

__all__ = ["SPREAD_LIMIT_S", "SpreadResult", "SpreadScenario", "simulate_spread"]

STARTUP_S = 2.0
SPREAD_LIMIT_S = 2.5
REPEAT_WINDOW_S = 4.0
EXIT_INTERVAL_S = 0.2
MAX_EXITS = 4
REQUEST = SimpleNamespace(
    id="a1", fingerprint=b"f" * 16, part_fingerprints=(), model=""
)
SOUND_PART, CRASHING_PART = part_fingerprints("s", ("sound", "crashing"))
ANSWER_INTERVAL_S = 0.2


class SpreadScenario(NamedTuple):
    """The simulated network, the target exits and the isolated daemons.

    :param shape: :class:`~features.support.daemon_network.NetworkShape`
    :param target_exits: targets that exit while serving the request, each seen by
        another daemon.
    :param is_part: whether the requests are different ones that share a part of their
        prompts; its last crash is the fourth, and all daemons go on answering requests
        with the part before it.
    :param isolated_daemons: number of daemons without network meanwhile.
    :param isolation_s: seconds from the last exit until their network is back.
    """

    shape: object
    target_exits: int = 3
    is_part: bool = False
    isolated_daemons: int = 0
    isolation_s: float = 0.0


class SpreadResult(NamedTuple):
    """Refusals by daemon and the traffic that the verdicts caused.

    :param refusing: whether each daemon refuses the request after
        :data:`SPREAD_LIMIT_S`.
    :param refusing_sound: whether each one then refuses requests with the sound part.
    :param spread_bytes: bytes that each daemon sent for the verdict until then.
    :param repeat_bytes_per_s: bytes that each daemon sent per second after that.
    """

    refusing: list[bool]
    refusing_sound: list[bool]
    spread_bytes: list[int]
    repeat_bytes_per_s: list[float]


class _Store:
    """A store that discards all writes, so that verdicts spread by datagrams only."""

    async def read_table(self, table):
        return RowChanges((), 1)

    async def write(self, row_write):
        return 2


class _CountingLink:
    """Wraps a daemon's link and counts the bytes sent for quarantines."""

    def __init__(self, link):
        self._link = link
        self.sent_bytes = 0

    def __getattr__(self, name):
        return getattr(self._link, name)

    def send(self, message, addresses):
        datagram_bytes = len(encode(message)) + IP_UDP_HEADER_BYTES
        self.sent_bytes += datagram_bytes * len(addresses)
        self._link.send(message, addresses)


def _entry(number):
    return TargetEntry(f"t{number}", "s", f"10.0.0.{number}:1", "x", 6)


async def _connection_refused(address):
    return True


def _attach_quarantine(daemon):
    fleet = FleetView()
    fleet.apply([_entry(number) for number in range(MAX_EXITS)], ())
    verdict_store = VerdictStore(_Store(), lambda: 0.0)
    link = _CountingLink(daemon.link)
    daemon.quarantine = Quarantine(
        link, TargetExitDetector(fleet.is_expected, _connection_refused), verdict_store
    )
    daemon.quarantine.load_part_evaluation(PartEvaluation)
    return link


def _request(scenario, number):
    """Return the request of an exit; those that share a part differ otherwise."""
    if not scenario.is_part:
        return REQUEST
    return SimpleNamespace(
        id=f"a{number}",
        fingerprint=bytes([number]) * 16,
        part_fingerprints=(SOUND_PART, CRASHING_PART),
        model="m",
    )


def _report_target_exit(daemon, request, number):
    run = TargetRun(_entry(number))
    run.answer_started = run.ended_by_target = True
    daemon.quarantine.record_failed(request, run)


async def _answer_sound_requests(daemon, delay_s):
    """Answer requests with the sound part, without end."""
    request = SimpleNamespace(
        id="s", fingerprint=b"s" * 16, part_fingerprints=(SOUND_PART,), model="m"
    )
    await asyncio.sleep(delay_s)
    while True:
        run = TargetRun(_entry(0))
        await asyncio.sleep(ANSWER_INTERVAL_S)
        daemon.quarantine.record_answered(request, run)


async def _simulate(scenario, network):
    daemons = network.daemons
    links = [_attach_quarantine(daemon) for daemon in daemons]
    tasks = [asyncio.create_task(d.quarantine.run()) for d in daemons]
    if scenario.is_part:
        tasks += [
            asyncio.create_task(
                _answer_sound_requests(d, ANSWER_INTERVAL_S * number / len(daemons))
            )
            for number, d in enumerate(daemons)
        ]
    step = max(1, len(daemons) // max(1, scenario.isolated_daemons))
    isolated = daemons[1::step][: scenario.isolated_daemons]
    for daemon in isolated:
        daemon.is_down = True
    connected = [daemon for daemon in daemons if daemon not in isolated]
    for number in range(scenario.target_exits):
        await asyncio.sleep(EXIT_INTERVAL_S)
        _report_target_exit(
            connected[number * len(connected) // scenario.target_exits],
            _request(scenario, number),
            number,
        )
    await asyncio.sleep(scenario.isolation_s)
    for daemon in isolated:
        daemon.is_down = False
    await asyncio.sleep(SPREAD_LIMIT_S)
    request = _request(scenario, MAX_EXITS)
    refusing = [d.quarantine.is_quarantined(request) for d in daemons]
    sound_request = SimpleNamespace(
        fingerprint=b"s" * 16, part_fingerprints=(SOUND_PART,)
    )
    refusing_sound = [d.quarantine.is_quarantined(sound_request) for d in daemons]
    spread_bytes = [link.sent_bytes for link in links]
    await asyncio.sleep(REPEAT_WINDOW_S)
    for task in tasks:
        task.cancel()
    total_bytes = [link.sent_bytes for link in links]
    repeat_bytes_per_s = [
        (after - before) / REPEAT_WINDOW_S
        for before, after in zip(spread_bytes, total_bytes, strict=True)
    ]
    return SpreadResult(refusing, refusing_sound, spread_bytes, repeat_bytes_per_s)


def simulate_spread(scenario):
    """Simulate a :class:`SpreadScenario` and return the :class:`SpreadResult`."""
    network = DaemonNetwork(scenario.shape)
    results = []

    async def simulate():
        results.append(await _simulate(scenario, network))

    run_in_virtual_time(network.run(STARTUP_S / 2, simulate))
    return results[0]
