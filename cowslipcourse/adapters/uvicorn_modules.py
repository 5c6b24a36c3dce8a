"""uvicorn's configuration, server and protocol without its command line.

``import uvicorn`` also imports the command line, and with it click and multiprocessing.
Here the package is registered without that; its other names are imported on first use.
"""

import importlib.util
import sys

from cowslipcourse.lazy_exports import lazy_exports

__all__ = ["Config", "HttpToolsProtocol", "Server"]


def _register_package(name, modules_by_name):
    if name in sys.modules:
        return
    package = importlib.util.module_from_spec(importlib.util.find_spec(name))
    package.__getattr__ = lazy_exports(name, modules_by_name)
    sys.modules[name] = package


_register_package(
    "uvicorn",
    {
        "Config": "config",
        "Server": "server",
        "__version__": "_version",
        "main": "main",
        "run": "main",
    },
)

from uvicorn.config import Config  # noqa: E402
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol  # noqa: E402
from uvicorn.server import Server  # noqa: E402
