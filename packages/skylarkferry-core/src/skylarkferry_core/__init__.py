"""Decisions of skylarkferry, free of clocks, sockets, tasks and unseeded randomness."""
