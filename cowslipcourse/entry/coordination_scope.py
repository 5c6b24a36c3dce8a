"""The domains that a daemon coordinates."""

from typing import Protocol

__all__ = ["CoordinationScope"]


class CoordinationScope(Protocol):
    """The part of the site that a coordinator is responsible for."""

    @property
    def coordinator_count(self) -> int:
        """Number of coordinating daemons, this one included; 1 if none is known."""

    def coordinates(self, data_centre: str | None) -> bool:
        """Whether this daemon coordinates the domains of a data centre."""
