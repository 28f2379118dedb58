"""Leases and evidence by the votes of a few routers."""
