"""Free port numbers for test processes that run concurrently."""

import itertools
import socket
from collections import deque

__all__ = ["FIRST_PORT", "LAST_PORT", "free_ports"]

FIRST_PORT = 20_000
LAST_PORT = 32_767
"""Higher ports are used by the system for outgoing connections."""
PORTS_PER_RANGE = 500
"""Number of ports that each test process claims."""
_recent_ports = deque(maxlen=PORTS_PER_RANGE // 2)
"""Recently returned ports, which are not returned again at once."""
_claim_sockets = []
"""The bound socket that reserves a range for this process."""


def free_ports(count):
    """Return currently free port numbers.

    Each test process has a range of its own for as long as it runs.

    :param count: number of ports.
    :raises OSError: if all ranges are claimed by other test processes.
    """
    if not _claim_sockets:
        _claim_sockets.append(_claim_range())
    first_port = _claim_sockets[0].getsockname()[1] + 1
    ports = []
    for port in itertools.cycle(range(first_port, first_port + PORTS_PER_RANGE - 1)):
        if len(ports) == count:
            return ports
        if port not in ports and port not in _recent_ports and _is_free(port):
            ports.append(port)
            _recent_ports.append(port)


def _claim_range():
    """Return a socket bound to the first port of an unclaimed range."""
    for first_port in range(
        FIRST_PORT, LAST_PORT - PORTS_PER_RANGE + 2, PORTS_PER_RANGE
    ):
        claim = socket.socket()
        try:
            claim.bind(("127.0.0.1", first_port))
        except OSError:
            claim.close()
            continue
        return claim
    raise OSError(f"no free port range from {FIRST_PORT} to {LAST_PORT}")


def _is_free(port):
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
