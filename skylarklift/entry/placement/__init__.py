"""Choose the upstream of a request: load, affinity, health and limits."""
