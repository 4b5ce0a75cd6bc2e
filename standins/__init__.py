"""Fakes of the systems around galenarill, and a fleet on loopback."""
