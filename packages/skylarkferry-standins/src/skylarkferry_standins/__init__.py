"""Stand-ins of the platform and upstreams, for development."""
