"""Benchmarks that compare a router with stated targets and with baselines of the same run."""
