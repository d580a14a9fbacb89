"""Routed requests and caller-driven programs: the gateway role of skylarkferry."""
