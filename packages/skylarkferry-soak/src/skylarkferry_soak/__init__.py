"""Randomized soak test of gateway processes against stand-ins under injected faults."""
