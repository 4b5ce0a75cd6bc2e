"""Command-line interface."""

from galenarill.cli.app import *  # noqa: F403
