"""The gateway: forwards callers' requests to groups and services."""
