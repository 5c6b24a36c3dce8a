"""Port numbers for processes that tests start beside each other."""

import itertools
import socket
from collections import deque

__all__ = ["FIRST_PORT", "LAST_PORT", "free_ports"]

FIRST_PORT = 20_000
LAST_PORT = 32_767
"""Above it the system takes the local ports of outgoing connections."""
PORTS_EACH = 500
"""Ports of a range."""
_recent = deque(maxlen=PORTS_EACH // 2)
"""Ports given out lately, which are not given out again at once."""
_claims = []
"""The bound socket that keeps this process's range from other processes."""


def free_ports(number):
    """Return port numbers that are free now.

    A test process has a range of its own for as long as it runs.

    :raises OSError: if other test processes have all ranges.
    """
    if not _claims:
        _claims.append(_claim_range())
    first = _claims[0].getsockname()[1] + 1
    found = []
    for port in itertools.cycle(range(first, first + PORTS_EACH - 1)):
        if len(found) == number:
            return found
        if port not in found and port not in _recent and _is_free(port):
            found.append(port)
            _recent.append(port)


def _claim_range():
    """Return a socket bound to the first port of a range that nobody else has."""
    for first in range(FIRST_PORT, LAST_PORT - PORTS_EACH + 2, PORTS_EACH):
        claim = socket.socket()
        try:
            claim.bind(("127.0.0.1", first))
        except OSError:
            claim.close()
            continue
        return claim
    raise OSError(f"no range of ports is free from {FIRST_PORT} to {LAST_PORT}")


def _is_free(port):
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
