"""Routing policies: choice of the target of a request."""

from cowslipcourse.lazy_exports import lazy_exports
from cowslipcourse.load_balancing.candidates import (
    Candidate,
    CandidateCost,
    RequestSize,
)

__all__ = [
    "Candidate",
    "CandidateCost",
    "InFlight",
    "LeastExpectedWait",
    "LeastInFlight",
    "PrefixMap",
    "RandomChoice",
    "RequestSize",
    "RoundRobin",
    "RoutingPolicy",
    "StragglerFilter",
    "StragglerLimits",
    "TargetView",
    "prefix_hashes",
]

# Only gateways use these.
__getattr__ = lazy_exports(
    __name__,
    {
        "InFlight": "views",
        "LeastExpectedWait": "policies",
        "LeastInFlight": "policies",
        "PrefixMap": "affinity",
        "RandomChoice": "policies",
        "RoundRobin": "policies",
        "RoutingPolicy": "policies",
        "StragglerFilter": "stragglers",
        "StragglerLimits": "stragglers",
        "TargetView": "views",
        "prefix_hashes": "affinity",
    },
)
