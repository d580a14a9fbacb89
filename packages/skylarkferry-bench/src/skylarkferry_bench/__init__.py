"""Measurements of the policy, for development."""
