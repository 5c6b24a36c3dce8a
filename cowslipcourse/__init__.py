"""Serving for models that span several VMs."""

__all__ = ["__version__"]

__version__ = "0.1.0"
