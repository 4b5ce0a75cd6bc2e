"""Logging and metrics of a process, and the analysis of its logs."""

from galenarill.telemetry.logs import *  # noqa: F403
from galenarill.telemetry.metrics import *  # noqa: F403
from galenarill.telemetry.pipe import *  # noqa: F403
from galenarill.telemetry.report import *  # noqa: F403
from galenarill.telemetry.timeline import *  # noqa: F403
