"""Which domains a daemon keeps the groups of."""

from typing import Protocol

__all__ = ["CoordinationScope"]


class CoordinationScope(Protocol):
    """What a coordinator asks about its part of the site."""

    @property
    def coordinator_count(self) -> int:
        """Number of daemons that keep groups, this one included; 1 if none is known."""

    def coordinates(self, data_centre: str | None) -> bool:
        """Whether this daemon keeps the groups of a data centre's domains."""
