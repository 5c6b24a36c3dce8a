"""Configuration and targets: from the store, or from peers that read it.

Reporters follow the store. They push what changes to the daemons of their data centre;
who misses something, or cannot reach the store, reads a peer's whole state.
"""

import asyncio

import aiohttp

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.entry.following import TableFollower
from cowslipcourse.entry.target_list import TargetList
from cowslipcourse.exceptions import (
    ConfigurationError,
    MalformedAnswer,
    PeerUnreachable,
)
from cowslipcourse.peers import PeerState, TargetChanges, decode_state, encode_state
from cowslipcourse.platform import decode_configuration
from cowslipcourse.platform.store import (
    CONFIGURATION_KEY,
    CONFIGURATION_TABLE,
    TARGETS_TABLE,
)

__all__ = ["Knowledge"]

RETURN_S = 2.2
"""After an outage, entries that lapsed meanwhile are back within about two seconds."""
HOLD_S = 1.5
"""Time for which an entry that is dropped soon after an outage is kept: it may have
lapsed and be back. A target must get nothing new 2 s after its entry is dropped."""
LOOK_S = 0.1
"""Interval at which it is checked whether a peer must be read."""
BEHIND_S = 0.3
"""Time for a push to arrive before the state is read instead."""
PEER_TIMEOUT_S = 1.0
"""Longest read of a peer's state: 100 KB over a link of 20 Mbit/s that others use."""
EVERY_VERSION = 1 << 62
"""Stands for a reader that wants no targets."""

log = get_logger(__name__)


class Knowledge:
    """Keeps configuration and targets up to date and hands on what changes.

    :param settings: :class:`~cowslipcourse.entry.settings.EntrySettings`
    :param store: :class:`~cowslipcourse.ports.RowStore`
    :param registry: :class:`~cowslipcourse.peers.PeerRegistry`
    :param rng: :class:`random.Random` that spreads reads over peers.
    :param listener: has ``take_configuration(table)``, ``take_targets(entries, gone)``
        and ``push(TargetChanges)``.
    """

    def __init__(self, settings, store, registry, rng, listener):
        self._rng = rng
        self._registry = registry
        self._listener = listener
        self._content = None
        self._list = TargetList()
        self._refused = None
        self._settled_at = 0.0
        self._held = {}
        self._unsettled = asyncio.Event()
        self._behind_since = None
        self._session = None
        self._follows = True
        self.configuration = 0
        self.targets_version = 0
        self._configuration = TableFollower(
            store,
            settings.store,
            CONFIGURATION_TABLE,
            self._see_configuration,
            lambda after, changes: self._see_configuration(changes),
            0.0,
        )
        self._targets = TableFollower(
            store,
            settings.store,
            TARGETS_TABLE,
            self._see_all_targets,
            self._see_targets,
            settings.store.batch_s,
        )

    @property
    def is_current(self):
        """Whether the store answers, as far as this daemon asks it.

        Of a daemon that rests it is assumed, unless it was refused lately.
        """
        tables = self._configuration, self._targets
        if not self._follows:
            return not any(table.was_lost_lately for table in tables)
        return all(table.is_current for table in tables)

    def follow(self, active):
        """Read the store, or leave that to others.

        A daemon rests only once it knows a configuration and targets.
        """
        if not active and not (self.configuration and self.targets_version):
            return
        self._follows = active
        self._configuration.follow(active)
        self._targets.follow(active)

    def coroutines(self):
        """Return the coroutines that keep it up to date."""
        return (
            self._configuration.run(),
            self._targets.run(),
            self._look_at_peers(),
            self._settle(),
        )

    def state(self, known_configuration, known_targets):
        """Return the bytes that a peer reads: only what it does not have.

        :param known_configuration: version of the configuration that the peer has.
        :param known_targets: store version of the targets that the peer has.
        """
        is_newer = self.configuration > known_configuration
        configuration = self._content if is_newer else None
        targets = self._list.contents if self.targets_version > known_targets else {}
        return encode_state(PeerState(configuration, self.targets_version, targets))

    # From the store.

    def _see_configuration(self, changes):
        for row in changes.rows:
            if row.key == CONFIGURATION_KEY and not row.deleted:
                self._take_configuration(row.value)

    def _take_configuration(self, content):
        """Put a newer configuration in force; an unreadable one changes nothing."""
        if content in (self._content, self._refused):
            return
        try:
            table, problems = decode_configuration(content)
        except ConfigurationError as error:
            self._refused = content
            log.warning("configuration-refused", error=error.code, why=error)
            return
        if table.version <= self.configuration:
            return
        for problem in problems:
            log.warning("configuration-part-refused", problem=problem)
        self.configuration = table.version
        self._content = content
        self._listener.take_configuration(table)

    def _see_all_targets(self, everything):
        listed = {row.key: row.value for row in everything.rows}
        # What the store lists has come back, or was never gone.
        self._held = {t: at for t, at in self._held.items() if t not in listed}
        known = self._list.contents
        if self._targets.was_lost or not known:
            loop = asyncio.get_running_loop()
            self._settled_at = loop.time() + RETURN_S
            self._unsettled.set()
            # What is missing may be back in a moment.
            listed = {**known, **listed}
        self._take_all_targets(listed, everything.version)

    def _take_all_targets(self, listed, version):
        self.targets_version = version
        changes = self._list.replace(listed)
        log.info(
            "targets-read",
            number=len(self._list.entries),
            version=version,
            changed=len(changes.entries),
            gone=",".join(changes.gone),
        )
        self._listener.take_targets(*changes)

    def _see_targets(self, after, changes):
        loop = asyncio.get_running_loop()
        gone = tuple(row.key for row in changes.rows if row.deleted)
        if loop.time() < self._settled_at:
            self._held |= dict.fromkeys(gone, loop.time() + HOLD_S)
            self._unsettled.set()
            gone = ()
        changed = {row.key: row.value for row in changes.rows if not row.deleted}
        self._held = {t: at for t, at in self._held.items() if t not in changed}
        message = TargetChanges(after, changes.version, changed, gone)
        self._apply(message)
        self._listener.push(message)

    def _apply(self, message):
        self.targets_version = max(self.targets_version, message.version)
        changes = self._list.apply(message.changed, message.gone)
        if any(changes):
            leaving = [entry.id for entry in changes.entries if entry.is_leaving]
            log.info(
                "targets",
                version=message.version,
                changed=len(changes.entries),
                leaving=",".join(leaving),
                gone=",".join(changes.gone),
            )
        self._listener.take_targets(*changes)

    def _drop_held(self, now):
        """Drop the entries that were held and have not come back, for all daemons."""
        due = tuple(target for target, at in self._held.items() if now >= at)
        if not due:
            return
        self._held = {t: at for t, at in self._held.items() if t not in due}
        version = self.targets_version
        message = TargetChanges(version, version, {}, due)
        self._apply(message)
        self._listener.push(message)

    async def _settle(self):
        """Read all targets again once what lapsed in an outage had time to return."""
        loop = asyncio.get_running_loop()
        settled_at = 0.0
        while True:
            await self._unsettled.wait()
            while self._held or self._settled_at > settled_at:
                await asyncio.sleep(LOOK_S)
                self._drop_held(loop.time())
                if self._settled_at > settled_at and loop.time() >= self._settled_at:
                    settled_at = self._settled_at
                    self._targets.read_again()
            self._unsettled.clear()

    # From peers.

    def take_push(self, message):
        """Take in a reporter's :class:`~cowslipcourse.peers.TargetChanges`.

        One that leads to no newer version tells of entries that were held.
        """
        if self._follows or message.version < self.targets_version:
            return
        was_held = message.after == message.version
        if message.version == self.targets_version and not was_held:
            return
        if message.after <= self.targets_version:
            self._apply(message)

    async def _look_at_peers(self):
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(LOOK_S)
            for member in self._sources(loop.time()):
                try:
                    await self._read_peer(member.peer_address)
                except (PeerUnreachable, MalformedAnswer) as error:
                    log.info("peer-not-read", peer=member.name, why=error)
                    continue
                break

    def _sources(self, now):
        """Return the members to read from, if something is missing."""
        newer = self._registry.with_newer_configuration(self.configuration, now)
        if newer:
            # Any of them: a reporter's link could not serve its whole data centre.
            self._rng.shuffle(newer)
            return newer
        near = [h for h in self._registry.near(now) if h.is_fit]
        near.sort(key=lambda h: (-h.targets_version, self._rng.random()))
        if self._is_behind(near, now):
            return [heartbeat.member for heartbeat in near]
        if self.is_current:
            return []
        others = [digest.reporter for digest in self._registry.digests(now)]
        return [heartbeat.member for heartbeat in near] + others

    def _is_behind(self, near, now):
        """Whether a push must have been lost."""
        newest = near[0].targets_version if near else 0
        if self._follows or newest <= self.targets_version:
            self._behind_since = None
            return False
        if self._behind_since is None:
            self._behind_since = now
        if now - self._behind_since < BEHIND_S:
            return False
        self._behind_since = None
        return True

    async def _read_peer(self, address):
        if self._session is None:
            self._session = aiohttp.ClientSession()
        timeout = aiohttp.ClientTimeout(total=PEER_TIMEOUT_S)
        known = {
            "configuration": str(self.configuration),
            "targets": str(self._wanted_after()),
        }
        try:
            async with self._session.get(
                f"http://{address}/state", params=known, timeout=timeout
            ) as response:
                content = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise PeerUnreachable(repr(error)) from error
        if response.status != 200:
            raise PeerUnreachable(f"answered {response.status}")
        state = decode_state(content)
        if state.configuration is not None:
            self._take_configuration(state.configuration)
        if state.targets and state.targets_version > self._wanted_after():
            self._take_all_targets(dict(state.targets), state.targets_version)

    def _wanted_after(self):
        """Return the store version after which a peer's targets are of use."""
        if self._follows and self.is_current:
            return EVERY_VERSION
        return self.targets_version
