"""Randomized soak: gateway processes, stand-ins, faults from outside, and checks of promises."""
