"""Leases and freshness evidence from majority votes of a few routers."""
