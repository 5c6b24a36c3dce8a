"""The gateway: callers' requests to groups and services."""
