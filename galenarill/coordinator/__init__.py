"""The coordinator: a voter of the log, and the scheduler while it leads."""
