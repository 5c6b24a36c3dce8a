"""Adapter between the system and the users' platform.

The platform's headers, paths and field names are used only in this package.
"""

import os

from cowslipcourse.platform.configuration import decode_configuration
from cowslipcourse.platform.discovery import directory_app, ready_app
from cowslipcourse.platform.engines import HttpEngineControl
from cowslipcourse.platform.entries import decode_entry
from cowslipcourse.platform.store import HttpRowStore

SETTINGS_VARIABLE = "COWSLIPCOURSE_NODE_FILE"
"""Environment variable that holds the path of a daemon's settings file."""

__all__ = [
    "SETTINGS_VARIABLE",
    "HttpEngineControl",
    "HttpRowStore",
    "decode_configuration",
    "decode_entry",
    "directory_app",
    "ready_app",
    "settings_path",
]


def settings_path():
    """Return the path of the settings file that the platform names, or ``None``."""
    return os.environ.get(SETTINGS_VARIABLE)
