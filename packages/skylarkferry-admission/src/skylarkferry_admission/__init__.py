"""Admission of requests: who may send them, how many, and which wait or are rejected."""
