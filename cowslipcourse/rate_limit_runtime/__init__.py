"""Rate limits within a daemon: exchange of limits, permits and probes."""

from cowslipcourse.lazy_exports import lazy_exports
from cowslipcourse.rate_limit_runtime.limiter import Permit, RateLimiter

__all__ = ["LimitProber", "LimiterPeers", "Permit", "RateLimiter"]

# Interfaces without code that a running daemon needs.
__getattr__ = lazy_exports(__name__, {"LimitProber": "ports", "LimiterPeers": "ports"})
