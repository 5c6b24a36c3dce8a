"""Simulate how quarantine verdicts spread between daemons, in simulated time."""

import asyncio
from collections import Counter
from types import SimpleNamespace
from typing import NamedTuple

from cowslipcourse.emulator.clock import run_in_virtual_time
from cowslipcourse.entry.attempts import TargetRun
from cowslipcourse.entry.fleet_view import FleetView
from cowslipcourse.entry.peer_link import QUARANTINE_MESSAGES
from cowslipcourse.peer_protocol import (
    Heartbeat,
    QuarantineUpdate,
    Relayed,
    decode,
    encode,
)
from cowslipcourse.ports import RowChanges, TargetEntry
from cowslipcourse.quarantine import Verdict, VerdictStore, part_fingerprints
from cowslipcourse.quarantine.verdicts import QUARANTINE_S
from cowslipcourse.quarantine_runtime import Quarantine, TargetExitDetector
from cowslipcourse.quarantine_runtime.part_evaluation import PartEvaluation
from features.support.daemon_network import IP_UDP_HEADER_BYTES, DaemonNetwork

__all__ = [
    "SPREAD_LIMIT_S",
    "RelayedVerdicts",
    "SpreadResult",
    "SpreadScenario",
    "simulate_relays",
    "simulate_spread",
]

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
FIRST, NESTED = b"1" * 16, b"2" * 16
"""Fingerprints of a verdict that is relayed, and of one that is relayed twice."""
UNKNOWN_DAEMON = "unknown"
RELAY_S = 0.1
"""Time until what is relayed has arrived; nothing is repeated so soon."""


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


class RelayedVerdicts(NamedTuple):
    """Daemons that have learnt from a reporter that relays, by data centre.

    :param first: counts of those that refuse the request of the relayed verdict.
    :param nested: counts of those that refuse that of one which was relayed twice.
    :param greeted: counts of those that have heard of the unknown daemon.
    """

    first: Counter
    nested: Counter
    greeted: Counter


class _Store:
    """A store that discards all writes, so that verdicts spread by datagrams only."""

    async def read_table(self, table):
        return RowChanges((), 1)

    async def write(self, row_write):
        return 2


class _QuarantineBytes:
    """Counts the bytes that a daemon's link sends and relays for quarantines."""

    def __init__(self, link):
        self.sent_bytes = 0
        self._send = link._send
        link._send = self._count

    def _count(self, content, addresses):
        if isinstance(decode(content), (*QUARANTINE_MESSAGES, Relayed)):
            datagram_bytes = len(content) + IP_UDP_HEADER_BYTES
            self.sent_bytes += datagram_bytes * len(addresses)
        self._send(content, addresses)


def _entry(number):
    return TargetEntry(f"t{number}", "s", f"10.0.0.{number}:1", "x", 6)


async def _connection_refused(address):
    return True


def _attach_quarantine(daemon):
    fleet = FleetView()
    fleet.apply([_entry(number) for number in range(MAX_EXITS)], ())
    verdict_store = VerdictStore(_Store(), lambda: 0.0)
    counted_bytes = _QuarantineBytes(daemon.link)
    daemon.quarantine = Quarantine(
        daemon.link,
        TargetExitDetector(fleet.is_expected, _connection_refused),
        verdict_store,
    )
    daemon.quarantine.load_part_evaluation(PartEvaluation)
    return counted_bytes


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


def _request_of(fingerprint):
    return SimpleNamespace(fingerprint=fingerprint, part_fingerprints=())


def _relayed_contents(daemon):
    """Return what a reporter is asked to relay."""
    first, nested = (
        encode(QuarantineUpdate((Verdict(fingerprint, QUARANTINE_S),)))
        for fingerprint in (FIRST, NESTED)
    )
    unknown = daemon.member._replace(name=UNKNOWN_DAEMON)
    heartbeat = encode(Heartbeat(unknown, 1, True, 99, {}, {}))
    return first, encode(Relayed(nested)), heartbeat


async def _simulate_relays(daemons):
    for daemon in daemons:
        _attach_quarantine(daemon)
    now = asyncio.get_running_loop().time()
    reporter = next(
        daemon
        for daemon in daemons
        if daemon.registry.is_active_reporter(daemon.heartbeat(), now)
    )
    for content in _relayed_contents(reporter):
        reporter.link._handle_datagram(encode(Relayed(content)))
    await asyncio.sleep(RELAY_S)
    result = RelayedVerdicts(Counter(), Counter(), Counter())
    for daemon in daemons:
        data_centre = daemon.member.data_centre
        is_quarantined = daemon.quarantine.is_quarantined
        result.first[data_centre] += is_quarantined(_request_of(FIRST))
        result.nested[data_centre] += is_quarantined(_request_of(NESTED))
        unknown = daemon.member._replace(name=UNKNOWN_DAEMON)
        result.greeted[data_centre] += not daemon.registry.is_unknown(unknown)
    return result


def simulate_relays(shape):
    """Let a reporter relay messages; return the :class:`RelayedVerdicts`.

    :param shape: :class:`~features.support.daemon_network.NetworkShape`
    """
    network = DaemonNetwork(shape)
    results = []

    async def simulate():
        results.append(await _simulate_relays(network.daemons))

    run_in_virtual_time(network.run(STARTUP_S / 2, simulate))
    return results[0]


def simulate_spread(scenario):
    """Simulate a :class:`SpreadScenario` and return the :class:`SpreadResult`."""
    network = DaemonNetwork(scenario.shape)
    results = []

    async def simulate():
        results.append(await _simulate(scenario, network))

    run_in_virtual_time(network.run(STARTUP_S / 2, simulate))
    return results[0]
