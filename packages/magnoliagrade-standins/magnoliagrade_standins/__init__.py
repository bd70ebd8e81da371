"""Stand-ins for back ends and for the operators' platform, and tools to test with."""
