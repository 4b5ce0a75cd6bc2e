"""Stand-ins for what surrounds galenarill, and a fleet on loopback."""
