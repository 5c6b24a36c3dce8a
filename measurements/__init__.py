"""Measurements; each script prints its figures and can be run again."""
