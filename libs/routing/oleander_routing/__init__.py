"""Which backend server gets a request."""
