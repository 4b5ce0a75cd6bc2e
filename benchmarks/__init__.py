"""Benchmarks of galenarill. Run them with `make bench`."""
