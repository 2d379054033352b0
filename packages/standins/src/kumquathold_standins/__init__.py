"""Stand-ins for the platform, upstreams and callers.

Tests, the demo, the measurements and the soak test use them.
"""
