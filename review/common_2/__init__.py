"""Stand-ins and helpers that the script cases of the second review share."""
