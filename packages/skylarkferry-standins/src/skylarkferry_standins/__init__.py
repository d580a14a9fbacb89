"""Stand-ins for the platform and the upstreams, used in development and tests."""
