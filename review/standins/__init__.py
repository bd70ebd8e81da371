"""Stand-ins of the platform, of servers and of consumers for the review's scripts."""
