"""gRPC between the daemons of the system."""

from cowslipcourse.adapters.peer.network import GrpcPeers
from cowslipcourse.adapters.peer.tls import TlsFiles

__all__ = ["GrpcPeers", "TlsFiles"]
