"""Benchmarks of the scheduling policies and cost measurements of real processes."""
