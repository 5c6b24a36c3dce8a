"""Randomized fault-injection tests of the real programs; see docs/SOAK.md."""
