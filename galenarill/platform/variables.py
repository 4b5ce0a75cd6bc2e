"""Environment variables that the platform sets for a process."""

__all__ = ["SETTINGS_FILE_VARIABLE"]

# The variable holds the path of the settings file.
SETTINGS_FILE_VARIABLE = "GALENARILL_NODE_FILE"
