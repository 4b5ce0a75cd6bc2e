"""Admission of jobs: rejection of those that certainly come too late."""

from galenarill.admission.backlog import *  # noqa: F403
from galenarill.admission.decision import *  # noqa: F403
from galenarill.admission.retries import *  # noqa: F403
