"""The only form of addresses: ``ip:port``, since host names are never resolved."""

from typing import Annotated

import msgspec

__all__ = ["ADDRESS_PATTERN", "Address"]

_OCTET = r"(?:25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)"
_PORT = r"(?:6553[0-5]|655[0-2]\d|65[0-4]\d\d|6[0-4]\d{3}|[1-5]\d{4}|[1-9]\d{0,3})"
ADDRESS_PATTERN = rf"^(?:{_OCTET}\.){{3}}{_OCTET}:{_PORT}$"
"""Matches only addresses that a socket accepts."""

Address = Annotated[str, msgspec.Meta(pattern=ADDRESS_PATTERN)]
