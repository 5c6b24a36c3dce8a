"""Groups and gateways with a mechanism switched off: the check has to fail."""

import contextlib
from unittest import mock

from cowslipcourse.controller.groups import GroupTable
from cowslipcourse.gateway.fleet_view import FleetView
from cowslipcourse.leases import HeldLease, ObservedLease
from cowslipcourse.ports.platform import Transaction
from cowslipcourse.requests import StreamRelay
from cowslipcourse.requests.relay import END_DATA

__all__ = ["VARIANTS"]


@contextlib.contextmanager
def _patched(*patches):
    with contextlib.ExitStack() as stack:
        for patch in patches:
            stack.enter_context(patch)
        yield


def _unconditional():
    """Form groups without conditions on the VMs' rows and the lease."""
    write = GroupTable._write

    async def unchecked(self, *arguments, **named):
        table = self._table

        class Careless:
            """The table without conditions."""

            async def commit(self, transaction):
                return await table.commit(Transaction({}, transaction.writes))

        self._table = Careless()
        try:
            await write(self, *arguments, **named)
        finally:
            self._table = table

    return _patched(
        mock.patch.object(GroupTable, "_write", unchecked),
        mock.patch.object(HeldLease, "is_valid", lambda self, at: True),
        mock.patch.object(ObservedLease, "may_acquire", lambda self, at: True),
    )


def _grants_for_ever():
    """Believe a grant for ever."""

    def is_good(self, name, grant, at):
        return grant.report.serving

    return _patched(
        mock.patch.object(FleetView, "_is_good", is_good),
        mock.patch.object(FleetView, "was_granted", lambda *_: True),
    )


def _no_check_after_send():
    """Use the answer to a request whatever happened between check and send."""
    return _patched(mock.patch.object(FleetView, "was_granted", lambda *_: True))


def _no_departures():
    """Hear of leaving VMs from the shard's holder only."""
    return _patched(mock.patch.object(FleetView, "_join_departures", lambda self: None))


def _blind_relay():
    """Pass on tokens without looking at their attempt and offset."""

    def filter_events(self, attempt_id, events):
        passed = []
        for event in events:
            data = event.partition(b"\n")[2]
            if data == END_DATA:
                self.complete = True
                continue
            self.offset += 1
            passed.append(data + b"\n\n")
        return b"".join(passed)

    return _patched(mock.patch.object(StreamRelay, "filter_events", filter_events))


VARIANTS = {
    "unconditional writes": _unconditional,
    "grants that never end": _grants_for_ever,
    "no check between the send and the answer": _no_check_after_send,
    "departures from the holder only": _no_departures,
    "a relay that ignores attempt and offset": _blind_relay,
}
