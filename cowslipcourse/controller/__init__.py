"""The controller: edits of the configuration, shard leases, groups and orders."""
