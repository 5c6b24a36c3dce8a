"""Rate limits that targets state in their responses. Pure decisions."""

from cowslipcourse.rate_limits.cold_targets import ColdTargets, cold_permit_rate
from cowslipcourse.rate_limits.issuers import IssuerDirectory
from cowslipcourse.rate_limits.known_limits import (
    KnownLimit,
    KnownLimits,
    RateLimitStatement,
    TargetInstance,
)
from cowslipcourse.rate_limits.permits import PermitDecision, PermitIssuer

__all__ = [
    "ColdTargets",
    "IssuerDirectory",
    "KnownLimit",
    "KnownLimits",
    "PermitDecision",
    "PermitIssuer",
    "RateLimitStatement",
    "TargetInstance",
    "cold_permit_rate",
]
