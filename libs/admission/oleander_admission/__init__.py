"""Who goes first at a backend server, and who is refused."""
