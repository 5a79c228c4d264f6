"""Stand-ins for the platform, engines, services and trainers, for tests and demos."""
