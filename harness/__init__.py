"""Starts complete sites on loopback for the demo, the tests and the measurements."""

from harness.callers import Answer, Caller
from harness.site import LocalSite, SiteShape, VmShape

__all__ = ["Answer", "Caller", "LocalSite", "SiteShape", "VmShape"]
