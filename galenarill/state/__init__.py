"""Replicated state machine of the fleet, and the commands that change it."""

from galenarill.state.commands import *  # noqa: F403
from galenarill.state.escrow import *  # noqa: F403
from galenarill.state.fleet import *  # noqa: F403
from galenarill.state.records import *  # noqa: F403
