"""Stand-ins and set-up that the cases share."""
