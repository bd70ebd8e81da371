"""Stand-ins of the served systems and of the platform, for tests and trials."""
