"""Measurements; run them with `make bench`."""
