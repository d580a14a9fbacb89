"""The skylarkferry command line."""
