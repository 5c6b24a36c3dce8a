"""Demo of a site on loopback."""
