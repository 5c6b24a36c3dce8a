"""Interface for calls between the system's daemons."""

from typing import Any, NamedTuple, Protocol

__all__ = ["ForwardResponse", "ForwardedCall", "PeerHandler", "PeerNetwork"]


class ForwardedCall(NamedTuple):
    """A call with an idempotency key, forwarded to the key's home gateway.

    :param key: key as the caller sent it.
    :param workspace: workspace of the caller.
    :param service: service name.
    :param operation: operation name.
    :param body: request body.
    :param remaining_s: seconds to the deadline; 0 for none.
    :param window: time window of the home gateway in which the key was minted or
        claimed.
    :param incarnation: incarnation of the home gateway.
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
    """Result of a forwarded call.

    :param error_code: code of the error; empty if the call completed.
    :param detail: human-readable description of the error.
    :param retry_after_s: seconds after which a retry is useful; 0 for none.
    :param status: HTTP status of the target's response.
    :param content_type: media type of the body.
    :param body: response body.
    :param remembered: whether the outcome is that of an earlier run of the call.
    """

    error_code: str = ""
    detail: str = ""
    retry_after_s: float = 0.0
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    remembered: bool = False


class PeerHandler(Protocol):
    """Handles calls from peers."""

    async def heartbeat(self, heartbeat: Any) -> Any:
        """Return the reply to a :class:`~cowslipcourse.membership.Heartbeat`."""

    async def forward(self, call: ForwardedCall) -> ForwardResponse:
        """Run a forwarded call."""


class PeerNetwork(Protocol):
    """Sends calls to peers and receives theirs."""

    async def listen(self, handler: PeerHandler) -> None:
        """Start to serve peers."""

    async def heartbeat(self, address: str, heartbeat: Any, timeout_s: float) -> Any:
        """Send a heartbeat and return the reply.

        :raises PeerUnreachable: no reply in time.
        """

    async def forward(
        self, address: str, call: ForwardedCall, timeout_s: float
    ) -> ForwardResponse:
        """Forward a call to a peer.

        :raises PeerUnreachable: the peer may have run the call.
        """

    async def close_connections_except(self, addresses: set[str]) -> None:
        """Close connections to all addresses but these."""

    async def close(self) -> None:
        """Stop serving and close all connections."""
