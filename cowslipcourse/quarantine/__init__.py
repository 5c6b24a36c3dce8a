"""Requests that end the targets which run them: how they are told and kept away."""

from cowslipcourse.quarantine.fingerprints import fingerprint

__all__ = ["fingerprint"]
