"""Adapters between the users' platform protocol and the project's types."""
