"""Stand-ins of the platform, its servers and its clients, shared by the cases of the review."""
