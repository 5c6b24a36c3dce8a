"""gRPC calls between the daemons of the system."""

from cowslipcourse.adapters.peer.network import GrpcPeerNetwork
from cowslipcourse.adapters.peer.tls import TlsFiles

__all__ = ["GrpcPeerNetwork", "TlsFiles"]
