"""Replica of configuration and targets, from the store or from peers that read it.

Reporters follow the store and push changes to the daemons of their data centre. A
daemon that misses a push, or cannot reach the store, reads the state of a peer.
"""

import asyncio

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.entry.change_history import ChangeHistory
from cowslipcourse.entry.evacuations import Evacuations
from cowslipcourse.entry.peer_reads import PeerReadPolicy, read_state
from cowslipcourse.entry.table_follower import TableFollower
from cowslipcourse.entry.target_list import TargetList
from cowslipcourse.exceptions import (
    ConfigurationError,
    MalformedResponse,
    PeerUnreachable,
)
from cowslipcourse.http_client import HttpClient
from cowslipcourse.peer_protocol import (
    PeerState,
    TargetChanges,
    encode_state,
    split_changes,
)
from cowslipcourse.platform import decode_configuration
from cowslipcourse.platform.evacuations import apply_evacuation_rows
from cowslipcourse.platform.store import (
    CONFIGURATION_KEY,
    CONFIGURATION_TABLE,
    TARGETS_TABLE,
)
from cowslipcourse.ports import era_of, pack_version

__all__ = ["StateReplica"]

RECOVERY_S = 2.2
"""Time after an outage in which lapsed entries return, which takes about 2 s."""
POLL_RECOVERY_S = 2.75
"""Time after the beginning of a poll, if nothing but the poll has failed, in which
lapsed entries return. A target must get no new request 3 s after the outage."""
REMOVAL_HOLD_S = 1.5
"""Time for which an entry removed soon after an outage is kept: it may have lapsed and
return. A target must get no new request 2 s after the removal of its entry."""
RESEND_DELAY_S = 0.1
"""Delay after which what a snapshot has changed is pushed once more: a datagram may be
lost."""
MAX_DIFFERENCE_PER_PUSH = 200
"""Changes of a snapshot beyond which peers read the state instead."""
MAX_REMOVALS_PER_PUSH = 200
"""Removals in one datagram, about 4 KB."""
RESTORED_HOLD_S = 5.0
"""Time for which an evacuation that a restored store has lost goes on, so that its
operator can ask for it again before requests return."""
REREAD_RETRY_S = 0.2
"""Delay of another attempt at the read that ends the recovery after an outage."""
CHECK_INTERVAL_S = 0.1
"""Interval of checks for due removals and for a need to read a peer."""
FIRST_CHECK_INTERVAL_S = 0.02
"""The same without a configuration: callers are refused until there is one."""
MAX_CACHED_STATES = 8
"""Encoded states that are cached: peers that missed the same push ask alike."""
MAX_SOURCES_PER_READ = 3
"""Peers that are tried one after the other before a back-off."""
NO_TARGETS_WANTED = 1 << 62
"""Known version sent by a reader that needs no targets."""

log = get_logger(__name__)


class StateReplica:
    """Keeps configuration and targets up to date and notifies a listener.

    :param settings: :class:`~cowslipcourse.entry.settings.EntrySettings`
    :param store: :class:`~cowslipcourse.ports.RowStore`
    :param registry: :class:`~cowslipcourse.peer_protocol.PeerRegistry`
    :param rng: :class:`random.Random` that spreads reads over peers.
    :param listener: has ``apply_configuration(table)``,
        ``apply_targets(entries, gone)`` and ``push_changes(TargetChanges)``.
    :param evacuations: :class:`~cowslipcourse.entry.evacuations.Evacuations`
    """

    def __init__(self, settings, store, registry, rng, listener, evacuations=None):
        self.evacuations = evacuations or Evacuations()
        self._registry = registry
        self._read_policy = PeerReadPolicy(registry, rng)
        self._listener = listener
        self._configuration_content = None
        self._target_list = TargetList()
        self._change_history = ChangeHistory()
        self._cached_states = {}
        self._refused_content = None
        self._recovered_at = 0.0
        self._peer_read_at = 0.0
        self._kept_missing = frozenset()
        self._evacuations_held_until = 0.0
        self._held_until = {}
        self._recovery_pending = asyncio.Event()
        self._reread_due = asyncio.Event()
        self._http_client = HttpClient()
        self._follows_store = True
        self.configuration_version = 0
        self.targets_version = 0
        self._configuration_follower = TableFollower(
            store,
            settings.store,
            CONFIGURATION_TABLE,
            self._on_operator_snapshot,
            self._on_operator_changes,
            0.0,
        )
        self._target_follower = TableFollower(
            store,
            settings.store,
            TARGETS_TABLE,
            self._on_target_snapshot,
            self._on_target_changes,
            settings.store.batch_s,
        )

    @property
    def follows_store(self):
        """Whether this daemon reads the store."""
        return self._follows_store

    @property
    def is_current(self):
        """Whether reads of the store succeed.

        Without following it this is assumed, unless a read has failed recently.
        """
        followers = self._configuration_follower, self._target_follower
        if not self._follows_store:
            return not any(follower.has_failed_recently for follower in followers)
        return all(follower.is_current for follower in followers)

    def set_following(self, active, may_overlap=False):
        """Start or stop following the store.

        A daemon stops only once it knows a configuration and targets.

        :param may_overlap: whether the store is read again before earlier reads end.
        """
        if not active and not (self.configuration_version and self.targets_version):
            return
        self._follows_store = active
        self._configuration_follower.set_following(active, may_overlap)
        self._target_follower.set_following(active, may_overlap)

    def note_peer_read(self):
        """Record that the store answers another daemon of the data centre."""
        lost_at = self._lost_at()
        if lost_at and self._peer_read_at <= lost_at:
            self._peer_read_at = asyncio.get_running_loop().time()

    def coroutines(self):
        """Return the coroutines that keep the replica up to date."""
        return (
            self._configuration_follower.run(),
            self._target_follower.run(),
            self._poll_peers(),
            self._reread_after_recovery(),
            self._read_again(),
        )

    def encoded_state(self, known_configuration, known_targets, known_evacuations=None):
        """Return the encoded state for a peer, without what the peer already has.

        :param known_configuration: version of the configuration that the peer has.
        :param known_targets: store version of the targets that the peer has.
        :param known_evacuations: store version of the evacuated data centres that the
            peer has; ``None`` if it does not ask for them.
        """
        has_evacuated = (
            known_evacuations is not None
            and self.evacuations.version > known_evacuations
        )
        has_newer = self.configuration_version > known_configuration
        configuration = self.configuration_version if has_newer else None
        base_version = min(known_targets, self.targets_version)
        evacuations = self.evacuations.version if has_evacuated else None
        key = configuration, base_version, self.targets_version, evacuations
        if key not in self._cached_states:
            if len(self._cached_states) >= MAX_CACHED_STATES:
                del self._cached_states[next(iter(self._cached_states))]
            state = self._build_state(has_newer, base_version)
            if has_evacuated:
                state = state._replace(evacuated=self.evacuations.message())
            self._cached_states[key] = encode_state(state)
        return self._cached_states[key]

    def _build_state(self, has_newer, base_version):
        configuration = self._configuration_content if has_newer else None
        version, contents = self.targets_version, self._target_list.contents
        if base_version == version:
            return PeerState(configuration, version, {}, base_version)
        found = self._change_history.changes_since(base_version)
        if found is None:
            return PeerState(configuration, version, contents)
        changed, gone = found
        targets = {target: contents[target] for target in changed}
        return PeerState(configuration, version, targets, base_version, tuple(gone))

    # From the store.

    def _on_operator_snapshot(self, snapshot):
        """Apply all rows of the operators; what they evacuate comes first.

        A store restored to an older state may have lost rows: what it evacuated before
        goes on until it is read again.
        """
        listed = apply_evacuation_rows(snapshot.rows)
        known = self.evacuations
        loop, era = asyncio.get_running_loop(), era_of(snapshot.version)
        if known.data_centres - listed and era > era_of(known.version):
            log.warning(
                "evacuations-held", data_centres=",".join(sorted(known.data_centres))
            )
            self._evacuations_held_until = loop.time() + RESTORED_HOLD_S
            loop.call_later(
                RESTORED_HOLD_S, self._configuration_follower.request_full_read
            )
        if loop.time() < self._evacuations_held_until:
            # Any version that is read later in this era replaces the held set.
            known.learn(pack_version(era, 0), listed | known.data_centres)
        else:
            known.learn(snapshot.version, listed)
        self._on_configuration_rows(snapshot)

    def _on_operator_changes(self, changes):
        evacuated = apply_evacuation_rows(changes.rows, self.evacuations.data_centres)
        if evacuated != self.evacuations.data_centres:
            is_held = asyncio.get_running_loop().time() < self._evacuations_held_until
            self.evacuations.learn(changes.version - is_held, evacuated)
        self._on_configuration_rows(changes)

    def _on_configuration_rows(self, changes):
        for row in changes.rows:
            if row.key == CONFIGURATION_KEY and not row.deleted:
                self._apply_configuration(row.value)

    def _apply_configuration(self, content):
        """Apply a newer configuration; an invalid one changes nothing."""
        if content in (self._configuration_content, self._refused_content):
            return
        try:
            table, problems = decode_configuration(content)
        except ConfigurationError as error:
            self._refused_content = content
            log.warning("configuration-refused", error=error.code, why=error)
            return
        if table.version <= self.configuration_version:
            return
        for problem in problems:
            log.warning("configuration-part-refused", problem=problem)
        self.configuration_version = table.version
        self._configuration_content = content
        self._cached_states.clear()
        self._listener.apply_configuration(table)

    def _on_target_snapshot(self, snapshot):
        listed = {row.key: row.value for row in snapshot.rows}
        # Held entries that the store lists have returned or were never removed.
        self._held_until = {
            t: at for t, at in self._held_until.items() if t not in listed
        }
        known, base_version = self._target_list.contents, self.targets_version
        is_older = era_of(snapshot.version) > era_of(base_version)
        now = asyncio.get_running_loop().time()
        recovery_end = self._recovery_end(is_older, now)
        if recovery_end > now:
            self._recovered_at = recovery_end
            self._recovery_pending.set()
            # Missing entries may return soon. A store restored to an older state may
            # also list entries that a target has since replaced and will write again.
            self._kept_missing = known.keys() - listed.keys()
            listed = {**listed, **known} if is_older else {**known, **listed}
        else:
            self._kept_missing = frozenset()
        changed, gone = self._replace_targets(listed, snapshot.version)
        if base_version:
            versions = {row.key: row.version for row in snapshot.rows}
            self._push_difference(base_version, changed, gone, versions)

    def _recovery_end(self, is_older, now):
        """Return the loop time until which entries may return that the store lacks.

        :param is_older: whether the store was restored to an older state.
        """
        if is_older or not self._target_list.contents:
            return now + RECOVERY_S
        if now < self._recovered_at:
            return self._recovered_at
        if not self._has_been_lost(now):
            return now
        recovery_end = self._answered_at(now) + RECOVERY_S
        poll_began_at = self._target_follower.unanswered_poll_at
        if poll_began_at is None:
            return recovery_end
        # The store may have returned at any time since.
        return min(recovery_end, poll_began_at + POLL_RECOVERY_S)

    def _answered_at(self, now):
        """Return the loop time at which the store is first known to have answered."""
        return self._peer_read_at if self._peer_read_at > self._lost_at() else now

    def _lost_at(self):
        """Return the loop time of the last sign of a lost store; 0 without one."""
        own_failure_at = self._target_follower.failure_began_at
        return max(own_failure_at, self._registry.store_lost_at)

    def _has_been_lost(self, now):
        """Whether the store did not answer, here or elsewhere, until this read."""
        follower = self._target_follower
        if follower.has_read:
            return follower.is_failing
        if self._registry.hears_settled_reporter(now):
            return False
        return (
            follower.is_failing
            or follower.may_be_lost
            or follower.left_unanswered
            or self._registry.suggests_outage(now)
        )

    def _push_difference(self, base_version, changed, gone, versions):
        """Push what a snapshot has changed, and push it once more.

        Entries that are kept after an outage are dropped without a newer version, so
        that the versions of other daemons do not show who has missed the removal.

        :param base_version: version of the list before the snapshot.
        :param versions: store versions of the listed entries, by target id.
        """
        version = self.targets_version
        if version <= base_version:
            # Without removals it tells the others that the store answers.
            self._push_twice(_removals(version, gone))
        elif len(changed) + len(gone) <= MAX_DIFFERENCE_PER_PUSH:
            contents = {
                target: self._target_list.contents[target] for target in changed
            }
            message = TargetChanges(base_version, version, contents, gone)
            # When entries were removed is not known: the first part removes them.
            versions = dict.fromkeys(gone, base_version) | {
                target: max(base_version, versions[target]) for target in changed
            }
            self._push_twice(split_changes(message, versions))

    def _push_twice(self, messages):
        self._push(messages)
        asyncio.get_running_loop().call_later(RESEND_DELAY_S, self._push, messages)

    def _push(self, messages):
        for message in messages:
            self._listener.push_changes(message)

    def _replace_targets(self, listed, version):
        """Replace the list; return the ids of changed and of removed targets."""
        self.targets_version = version
        previous = dict(self._target_list.contents)
        changes = self._target_list.replace(listed)
        after = self._target_list.contents
        changed = [t for t, content in after.items() if previous.get(t) != content]
        self._record_changes(changed, changes.gone)
        log.info(
            "targets-read",
            number=len(self._target_list.entries),
            version=version,
            changed=len(changes.entries),
            gone=",".join(changes.gone),
        )
        self._listener.apply_targets(*changes)
        return changed, changes.gone

    def _on_target_changes(self, changes):
        # The store's version also rises with changes of other tables.
        base_version = self.targets_version
        loop = asyncio.get_running_loop()
        gone = tuple(row.key for row in changes.rows if row.deleted)
        if loop.time() < self._recovered_at:
            self._held_until |= dict.fromkeys(gone, loop.time() + REMOVAL_HOLD_S)
            self._recovery_pending.set()
            gone = ()
        changed = {row.key: row.value for row in changes.rows if not row.deleted}
        self._held_until = {
            t: at for t, at in self._held_until.items() if t not in changed
        }
        message = TargetChanges(base_version, changes.version, changed, gone)
        self._apply_changes(message)
        versions = {row.key: row.version for row in changes.rows}
        for part in split_changes(message, versions):
            self._listener.push_changes(part)

    def _record_changes(self, changed, gone):
        self._cached_states.clear()
        # Late entries of earlier incarnations are not in the list.
        changed = [target for target in changed if target in self._target_list.contents]
        self._change_history.record(self.targets_version, changed, gone)

    def _apply_changes(self, message):
        self.targets_version = max(self.targets_version, message.version)
        changes = self._target_list.apply(message.changed, message.gone)
        self._record_changes(message.changed, message.gone)
        if any(changes):
            leaving = [entry.id for entry in changes.entries if entry.is_leaving]
            log.info(
                "targets",
                version=message.version,
                changed=len(changes.entries),
                leaving=",".join(leaving),
                gone=",".join(changes.gone),
            )
        self._listener.apply_targets(*changes)

    def _remove_expired_held(self, now):
        """Remove held entries that have not returned, here and at peers."""
        due = tuple(target for target, at in self._held_until.items() if now >= at)
        if not due:
            return
        self._held_until = {t: at for t, at in self._held_until.items() if t not in due}
        version = self.targets_version
        message = TargetChanges(version, version, {}, due)
        self._apply_changes(message)
        self._listener.push_changes(message)

    async def _reread_after_recovery(self):
        """Read all targets again once entries that lapsed had time to return."""
        loop = asyncio.get_running_loop()
        recovered_at = 0.0
        while True:
            await self._recovery_pending.wait()
            while self._held_until or self._recovered_at > recovered_at:
                await asyncio.sleep(CHECK_INTERVAL_S)
                self._remove_expired_held(loop.time())
                if (
                    self._recovered_at > recovered_at
                    and loop.time() >= self._recovered_at
                ):
                    recovered_at = self._recovered_at
                    if self._follows_store or self._kept_missing:
                        self._reread_due.set()
            self._recovery_pending.clear()

    async def _read_again(self):
        """Read all targets again whenever that is due, until it succeeds."""
        while True:
            await self._reread_due.wait()
            self._reread_due.clear()
            while not await self._target_follower.read_now():
                await asyncio.sleep(REREAD_RETRY_S)

    # From peers.

    def apply_push(self, message):
        """Apply a reporter's :class:`~cowslipcourse.peer_protocol.TargetChanges`.

        A push without a newer version may contain removals that another reporter holds
        back, or has held back until now.
        """
        if self._follows_store and self._target_follower.has_read:
            # A peer has read the list again before this daemon has.
            gone = tuple(t for t in message.gone if t in self._kept_missing)
            self._apply_late_removals(message._replace(gone=gone))
            return
        self.note_peer_read()
        if message.version <= self.targets_version:
            self._apply_late_removals(message)
        elif message.base_version <= self.targets_version:
            self._apply_changes(message)

    def _apply_late_removals(self, message):
        """Apply the removals of a push whose version is already known."""
        gone = tuple(
            target
            for target in message.gone
            if not self._change_history.has_changed_since(target, message.version)
        )
        if gone:
            self._apply_changes(message._replace(changed={}, gone=gone))

    async def _poll_peers(self):
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(self._peer_check_interval_s())
            sources = self._read_policy.sources(self, loop.time())
            if sources:
                succeeded = await self._read_first_available(sources)
                self._read_policy.record_result(succeeded, loop.time())

    def _peer_check_interval_s(self):
        is_known = bool(self.configuration_version)
        return CHECK_INTERVAL_S if is_known else FIRST_CHECK_INTERVAL_S

    async def _read_first_available(self, members):
        """Read the state of the first peer that answers; return whether one did."""
        for member in members[:MAX_SOURCES_PER_READ]:
            known = (
                self.configuration_version,
                self._needed_after_version(),
                self.evacuations.version,
            )
            try:
                state = await read_state(self._http_client, member.peer_address, *known)
                self._apply_peer_state(state)
            except (PeerUnreachable, MalformedResponse) as error:
                log.info("peer-not-read", peer=member.name, why=error)
                continue
            return True
        return False

    def _apply_peer_state(self, state):
        if state.evacuated is not None:
            self.evacuations.learn_message(state.evacuated)
        if state.configuration is not None:
            self._apply_configuration(state.configuration)
        version = state.targets_version
        if version <= self._needed_after_version():
            return
        if (
            state.base_version is not None
            and state.base_version <= self.targets_version
        ):
            self._apply_changes(
                TargetChanges(state.base_version, version, state.targets, state.gone)
            )
        elif state.base_version is None and state.targets:
            self._replace_targets(dict(state.targets), version)

    def _needed_after_version(self):
        """Return the store version after which targets are needed from a peer."""
        if self._follows_store and self.is_current:
            return NO_TARGETS_WANTED
        return self.targets_version


def _removals(version, gone):
    """Return one or more messages that remove targets from lists of a version."""
    parts = (
        gone[first : first + MAX_REMOVALS_PER_PUSH]
        for first in range(0, max(1, len(gone)), MAX_REMOVALS_PER_PUSH)
    )
    return [TargetChanges(version, version, {}, part) for part in parts]
