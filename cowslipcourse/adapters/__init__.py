"""Adapters: the ports, met with libraries and published protocols."""
