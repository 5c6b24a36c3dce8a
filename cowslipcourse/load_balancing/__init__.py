"""Routing policies: choice of the target of a request."""

from cowslipcourse.routing.affinity import PrefixMap, prefix_hashes
from cowslipcourse.routing.policies import (
    LeastExpectedWait,
    LeastInFlight,
    RandomChoice,
    RoundRobin,
    RoutingPolicy,
)
from cowslipcourse.routing.stragglers import StragglerFilter, StragglerLimits
from cowslipcourse.routing.views import InFlight, TargetView

__all__ = [
    "InFlight",
    "LeastExpectedWait",
    "LeastInFlight",
    "PrefixMap",
    "RandomChoice",
    "RoundRobin",
    "RoutingPolicy",
    "StragglerFilter",
    "StragglerLimits",
    "TargetView",
    "prefix_hashes",
]
