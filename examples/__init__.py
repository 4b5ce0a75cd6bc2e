"""Small programs that show galenarill at work."""
