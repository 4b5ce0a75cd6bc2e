"""Fleet capacity and maintenance manager for small organisations."""

from galenarill.errors import *  # noqa: F403

__version__ = "0.1.0"
