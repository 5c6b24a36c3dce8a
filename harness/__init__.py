"""Start a whole site on loopback, for the demo, the tests and measurements."""

from harness.callers import Answer, Caller
from harness.site import LocalSite, SiteShape, VmShape

__all__ = ["Answer", "Caller", "LocalSite", "SiteShape", "VmShape"]
