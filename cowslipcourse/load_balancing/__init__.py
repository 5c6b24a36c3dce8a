"""Routing policies: choice of the target of a request."""

from cowslipcourse.load_balancing.affinity import PrefixMap, prefix_hashes
from cowslipcourse.load_balancing.candidates import (
    Candidate,
    CandidateCost,
    RequestSize,
)
from cowslipcourse.load_balancing.policies import (
    LeastExpectedWait,
    LeastInFlight,
    RandomChoice,
    RoundRobin,
    RoutingPolicy,
)
from cowslipcourse.load_balancing.stragglers import StragglerFilter, StragglerLimits
from cowslipcourse.load_balancing.views import InFlight, TargetView

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
