"""Example programs and example settings of galenarill."""
