"""Calls between the daemons of the system."""

from typing import Any, NamedTuple, Protocol

__all__ = ["ForwardResponse", "ForwardedCall", "PeerHandler", "PeerNetwork"]


class ForwardedCall(NamedTuple):
    """A keyed call that is handed to the key's home.

    :param key: key as the caller gave it.
    :param workspace: workspace of the caller.
    :param service: service name.
    :param operation: operation name.
    :param body: body.
    :param remaining_s: seconds to the deadline; 0 for none.
    :param window: window of the home in which the key was minted or claimed.
    :param incarnation: run of the home gateway.
    """

    key: str
    workspace: str
    service: str
    operation: str
    body: bytes
    remaining_s: float
    window: int
    incarnation: str


class ForwardResponse(NamedTuple):
    """How a forwarded call ended.

    :param error_code: code of the error, empty if the call completed.
    :param detail: sentence for people.
    :param retry_after_s: seconds after which a retry makes sense; 0 for none.
    :param status: HTTP status of the target's answer.
    :param content_type: media type of the body.
    :param body: body.
    :param remembered: whether the call had been run before.
    """

    error_code: str = ""
    detail: str = ""
    retry_after_s: float = 0.0
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    remembered: bool = False


class PeerHandler(Protocol):
    """What a daemon does when a peer calls."""

    async def heartbeat(self, heartbeat: Any) -> Any:
        """Return the answer to a :class:`~cowslipcourse.membership.Heartbeat`."""

    async def forward(self, call: ForwardedCall) -> ForwardResponse:
        """Run a forwarded call."""


class PeerNetwork(Protocol):
    """How a daemon reaches its peers and is reached by them."""

    async def listen(self, handler: PeerHandler) -> None:
        """Start to answer peers."""

    async def heartbeat(self, address: str, heartbeat: Any, timeout_s: float) -> Any:
        """Send a heartbeat and return the answer.

        :raises PeerUnreachable: no answer in time.
        """

    async def forward(
        self, address: str, call: ForwardedCall, timeout_s: float
    ) -> ForwardResponse:
        """Hand over a call.

        :raises PeerUnreachable: it may have been run there.
        """

    async def close_connections_except(self, addresses: set[str]) -> None:
        """Close connections to any other address."""

    async def close(self) -> None:
        """Stop to answer and close every connection."""
