"""The ``cowslip-entry`` daemon: request forwarding, directory and group control."""
