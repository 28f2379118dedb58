"""General helpers that do not depend on routing."""
