"""The demo: a whole site on loopback."""
