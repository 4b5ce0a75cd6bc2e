"""The users' platform: its names, formats and calls, translated to ours."""
