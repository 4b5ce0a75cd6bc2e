"""Variables that the platform sets for a process."""

__all__ = ["SETTINGS_FILE"]

# Holds the path of the settings file.
SETTINGS_FILE = "GALENARILL_NODE_FILE"
