"""The ``skylarkferry`` command line."""
