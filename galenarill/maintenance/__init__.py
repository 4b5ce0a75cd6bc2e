"""Drains, reboots and the platform that carries them out."""

from galenarill.maintenance.driver import *  # noqa: F403
from galenarill.maintenance.platform import *  # noqa: F403
