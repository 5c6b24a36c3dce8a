"""gRPC calls to and from peers; see :class:`~cowslipcourse.ports.PeerNetwork`."""

import grpc

from cowslipcourse.adapters.peer import codec, peer_pb2, peer_pb2_grpc
from cowslipcourse.adapters.peer.tls import client_credentials, server_credentials
from cowslipcourse.exceptions import PeerUnreachable
from cowslipcourse.ports.peers import ForwardedCall, ForwardResponse

__all__ = ["GrpcPeerNetwork"]

STOP_GRACE_S = 0.5

_CHANNEL_OPTIONS = (
    ("grpc.enable_retries", 0),
    ("grpc.max_receive_message_length", 64 * 2**20),
    ("grpc.initial_reconnect_backoff_ms", 200),
    ("grpc.min_reconnect_backoff_ms", 200),
    ("grpc.max_reconnect_backoff_ms", 1000),
)
_SERVER_OPTIONS = (("grpc.so_reuseport", 0),)


class _Servicer(peer_pb2_grpc.PeerServicer):
    def __init__(self, handler):
        self._handler = handler

    async def Heartbeat(self, request, context):  # noqa: N802
        response = await self._handler.heartbeat(codec.decode_heartbeat(request))
        return codec.encode_heartbeat_answer(response)

    async def Forward(self, request, context):  # noqa: N802
        fields = {name: getattr(request, name) for name in ForwardedCall._fields}
        response = await self._handler.forward(ForwardedCall(**fields))
        return peer_pb2.ForwardReply(**response._asdict())


class GrpcPeerNetwork:
    """A gRPC server for peers, and a channel to each peer, opened on first use.

    :param address: ``ip:port`` to listen on.
    :param tls: :class:`~cowslipcourse.adapters.peer.TlsFiles`, or ``None`` for plain
        connections.
    """

    def __init__(self, address, tls=None):
        self._address = address
        self._tls = tls
        self._tls_contents = None
        self._channels = {}
        self._server = None

    async def listen(self, handler):
        """See :class:`~cowslipcourse.ports.PeerNetwork`."""
        self._server = grpc.aio.server(options=_SERVER_OPTIONS)
        peer_pb2_grpc.add_PeerServicer_to_server(_Servicer(handler), self._server)
        if self._tls is None:
            self._server.add_insecure_port(self._address)
        else:
            credentials = server_credentials(self._tls)
            self._server.add_secure_port(self._address, credentials)
        await self._server.start()

    async def heartbeat(self, address, heartbeat, timeout_s):
        """See :class:`~cowslipcourse.ports.PeerNetwork`."""
        stub = await self._stub(address)
        request = codec.encode_heartbeat(heartbeat)
        return codec.decode_heartbeat_answer(
            await _call(stub.Heartbeat, request, timeout_s)
        )

    async def forward(self, address, call, timeout_s):
        """See :class:`~cowslipcourse.ports.PeerNetwork`."""
        stub = await self._stub(address)
        request = peer_pb2.ForwardRequest(**call._asdict())
        reply = await _call(stub.Forward, request, timeout_s)
        fields = {name: getattr(reply, name) for name in ForwardResponse._fields}
        return ForwardResponse(**fields)

    async def close_connections_except(self, addresses):
        """See :class:`~cowslipcourse.ports.PeerNetwork`."""
        for address in set(self._channels) - set(addresses):
            channel, _ = self._channels.pop(address)
            await channel.close()

    async def close(self):
        """See :class:`~cowslipcourse.ports.PeerNetwork`."""
        if self._server is not None:
            await self._server.stop(STOP_GRACE_S)
        await self.close_connections_except(())

    async def _stub(self, address):
        await self._reload_tls()
        if address not in self._channels:
            channel = self._open_channel(address)
            self._channels[address] = channel, peer_pb2_grpc.PeerStub(channel)
        return self._channels[address][1]

    async def _reload_tls(self):
        if self._tls is None:
            return
        tls_contents = self._tls.read()
        if tls_contents != self._tls_contents:
            await self.close_connections_except(())
            self._tls_contents = tls_contents

    def _open_channel(self, address):
        if self._tls is None:
            return grpc.aio.insecure_channel(address, options=_CHANNEL_OPTIONS)
        credentials = client_credentials(self._tls)
        return grpc.aio.secure_channel(address, credentials, options=_CHANNEL_OPTIONS)


async def _call(method, request, timeout_s):
    try:
        return await method(request, timeout=timeout_s)
    except grpc.aio.AioRpcError as error:
        raise PeerUnreachable(error.details() or str(error.code())) from error
