"""Serve callers' requests: connections, attempts at upstreams, forwarding, retries."""
