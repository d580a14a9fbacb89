"""Skylarkferry's decision logic: no clocks, sockets, tasks or unseeded randomness."""
