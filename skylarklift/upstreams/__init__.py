"""Connections to upstreams, their responses, and retries after failures."""
