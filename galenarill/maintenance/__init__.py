"""Maintenance of drained VMs: reboots through the platform's interface."""

from galenarill.maintenance.driver import *  # noqa: F403
from galenarill.maintenance.platform_client import *  # noqa: F403
