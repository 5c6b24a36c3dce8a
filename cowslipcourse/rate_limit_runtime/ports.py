"""What the rate limiter needs of other daemons and of targets."""

from typing import Protocol

__all__ = ["LimitProber", "LimiterPeers"]


class LimiterPeers(Protocol):
    """Messaging between daemons."""

    @property
    def address(self) -> str:
        """This daemon's own address."""

    def ready_addresses(self) -> dict[str, frozenset[str]]:
        """Return the addresses of ready daemons, this one included, by data centre."""

    def is_isolated(self) -> bool:
        """Whether this daemon has lost most daemons of its data centre."""

    def all_addresses(self) -> list[str]:
        """Return the addresses of all other daemons that are known."""

    def repeat_addresses(self) -> list[str]:
        """Return the addresses to repeat limits to; empty if another daemon does."""

    def send(self, message, addresses) -> None:
        """Send a message to some daemons, once; it may be lost."""


class LimitProber(Protocol):
    """Requests the limit of a target without sending it a caller's request."""

    async def probe(self, instance) -> float | None:
        """Return the requests per second that a target states, or ``None``.

        :param instance: :class:`~cowslipcourse.rate_limits.TargetInstance`
        :raises TargetError: the target does not respond, or is not listed.
        :raises MalformedHeader: the response states nothing.
        """
