"""The skylarkferry daemon."""
