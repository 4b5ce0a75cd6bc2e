"""Loading and validation of the settings of the fleet and of one process."""

from galenarill.settings.check import *  # noqa: F403
from galenarill.settings.files import *  # noqa: F403
from galenarill.settings.model import *  # noqa: F403
from galenarill.settings.node import *  # noqa: F403
from galenarill.settings.process import *  # noqa: F403
