"""Controllers and gateways with one mechanism disabled; the oracle must detect it."""

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
def _apply_patches(*patches):
    with contextlib.ExitStack() as stack:
        for patch in patches:
            stack.enter_context(patch)
        yield


def _write_unconditionally():
    """Form groups without conditions on the rows of the VMs and the lease."""
    write = GroupTable._write

    async def write_unconditionally(self, *args, **kwargs):
        table = self._table

        class UnconditionalTable:
            """Drops the conditions of transactions."""

            async def commit(self, transaction):
                return await table.commit(Transaction({}, transaction.writes))

        self._table = UnconditionalTable()
        try:
            await write(self, *args, **kwargs)
        finally:
            self._table = table

    return _apply_patches(
        mock.patch.object(GroupTable, "_write", write_unconditionally),
        mock.patch.object(HeldLease, "is_valid", lambda self, at: True),
        mock.patch.object(ObservedLease, "may_acquire", lambda self, at: True),
    )


def _keep_expired_grants():
    """Use grants after their expiry."""

    def is_usable(self, name, grant, at):
        return grant.report.serving

    return _apply_patches(
        mock.patch.object(FleetView, "_is_usable", is_usable),
        mock.patch.object(FleetView, "was_sent_under_grant", lambda *_: True),
    )


def _skip_check_after_send():
    """Use an answer even if the grant ended between check and send."""
    return _apply_patches(
        mock.patch.object(FleetView, "was_sent_under_grant", lambda *_: True)
    )


def _ignore_published_departures():
    """Learn of leaving VMs from the shard holder only."""
    return _apply_patches(
        mock.patch.object(FleetView, "_update_departing", lambda self: None)
    )


def _relay_unchecked_tokens():
    """Relay tokens without a check of attempt and offset."""

    def filter_events(self, attempt_id, events):
        relayed = []
        for event in events:
            data = event.partition(b"\n")[2]
            if data == END_DATA:
                self.complete = True
                continue
            self.offset += 1
            relayed.append(data + b"\n\n")
        return b"".join(relayed)

    return _apply_patches(
        mock.patch.object(StreamRelay, "filter_events", filter_events)
    )


VARIANTS = {
    "unconditional writes": _write_unconditionally,
    "grants that never expire": _keep_expired_grants,
    "no check after the send": _skip_check_after_send,
    "departures from the shard holder only": _ignore_published_departures,
    "a relay that ignores attempt and offset": _relay_unchecked_tokens,
}
