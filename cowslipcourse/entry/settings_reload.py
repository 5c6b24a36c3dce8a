"""Reload the settings file without a restart."""

import asyncio
import logging
from pathlib import Path

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.entry.settings import EntrySettings
from cowslipcourse.exceptions import SettingsError
from cowslipcourse.settings_file import load_settings

__all__ = ["SettingsWatcher", "changed_sections"]

CHECK_INTERVAL_S = 1.0
"""Interval of checks of the file, which may change without a signal."""
RESTART_ONLY_SECTIONS = ("name", "data_centre", "listen", "store", "peers")
"""Sections that take effect only at a start: addresses are bound, tasks hold them."""

log = get_logger(__name__)


def changed_sections(old, new):
    """Return the names of the sections that differ between two settings."""
    names = type(old).model_fields
    return [name for name in names if getattr(old, name) != getattr(new, name)]


class SettingsWatcher:
    """Reloads the settings file when it changes or on request.

    :param path: settings file.
    :param settings: :class:`~cowslipcourse.entry.settings.EntrySettings` in force.
    :param on_change: called with the settings to apply.
    """

    def __init__(self, path, settings, on_change):
        self._path = Path(path)
        self._settings = settings
        self._on_change = on_change
        self._content = self._read()

    async def run(self):
        """Check the file until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self._read() != self._content:
                self.reload("file changed")

    def reload(self, why):
        """Reload the file; keep the settings in force if it is invalid.

        :param why: reason for the reload, for the log.
        """
        self._content = self._read()
        try:
            settings = load_settings(self._path, EntrySettings)
        except SettingsError as error:
            log.warning("settings-refused", why=why, problems=error)
            return
        changed = changed_sections(self._settings, settings)
        restart_only = [name for name in changed if name in RESTART_ONLY_SECTIONS]
        log.info(
            "settings-read",
            why=why,
            changed=",".join(changed),
            at_next_start=",".join(restart_only),
        )
        unchanged = {
            name: getattr(self._settings, name) for name in RESTART_ONLY_SECTIONS
        }
        self._settings = settings.model_copy(update=unchanged)
        logging.getLogger().setLevel(self._settings.log.level.upper())
        self._on_change(self._settings)

    def _read(self):
        try:
            return self._path.read_bytes()
        except OSError as error:
            log.warning("settings-unreadable", path=self._path, why=error)
            return None
