"""The controller: configuration, leases, groups and orders."""
