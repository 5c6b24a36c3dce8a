"""Rate limits within a daemon: exchange of limits, permits and probes."""

from cowslipcourse.rate_limit_runtime.limiter import Permit, RateLimiter
from cowslipcourse.rate_limit_runtime.ports import LimiterPeers, LimitProber

__all__ = ["LimitProber", "LimiterPeers", "Permit", "RateLimiter"]
