"""The gateway: takes callers' jobs and asks the leading coordinator."""
