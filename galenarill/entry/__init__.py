"""The process of an entry VM."""

from galenarill.entry.node import *  # noqa: F403
