"""Connections to upstreams by way of another router, where this one has lost its own links."""
