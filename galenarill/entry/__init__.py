"""The process of an entry VM."""

from galenarill.entry.logs import *  # noqa: F403
from galenarill.entry.node import *  # noqa: F403
