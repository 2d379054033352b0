"""Stand-ins for tests, the demo and the measurements."""
