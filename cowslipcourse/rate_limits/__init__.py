"""Rate limits that targets state in their responses. Pure decisions."""

from cowslipcourse.rate_limits.known_limits import (
    KnownLimit,
    KnownLimits,
    RateLimitStatement,
    TargetInstance,
)

__all__ = [
    "KnownLimit",
    "KnownLimits",
    "RateLimitStatement",
    "TargetInstance",
]
