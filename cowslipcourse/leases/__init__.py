"""Leases with fencing tokens."""

from cowslipcourse.leases.held import HeldLease, LeaseTerms
from cowslipcourse.leases.observed import ObservedLease

__all__ = ["HeldLease", "LeaseTerms", "ObservedLease"]
