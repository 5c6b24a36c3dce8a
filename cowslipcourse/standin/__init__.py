"""Stand-in for the platform, engines and plain services, for tests and the demo."""
