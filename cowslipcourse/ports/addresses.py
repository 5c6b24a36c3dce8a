"""The one form of an address: ``ip:port``, as nothing here looks names up."""

from typing import Annotated

import msgspec

__all__ = ["ADDRESS_PATTERN", "Address"]

_BYTE = r"(?:25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)"
_PORT = r"(?:6553[0-5]|655[0-2]\d|65[0-4]\d\d|6[0-4]\d{3}|[1-5]\d{4}|[1-9]\d{0,3})"
ADDRESS_PATTERN = rf"^(?:{_BYTE}\.){{3}}{_BYTE}:{_PORT}$"
"""Whatever fits can be given to a socket."""

Address = Annotated[str, msgspec.Meta(pattern=ADDRESS_PATTERN)]
