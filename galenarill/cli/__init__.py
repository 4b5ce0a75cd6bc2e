"""The command line."""

from galenarill.cli.app import *  # noqa: F403
