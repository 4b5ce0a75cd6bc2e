"""The coordinator: a replica of the log that schedules while it leads."""
