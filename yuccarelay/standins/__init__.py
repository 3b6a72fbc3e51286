"""Stand-ins for services of the platform, for tests and demonstrations."""
