"""Small stand-ins of the platform and the back ends, for tests and measures only."""
