"""The gateway: forwards callers' requests to the leading coordinator."""
