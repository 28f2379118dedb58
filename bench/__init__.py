"""Measures: each starts from the stated target and compares with baselines in the same run."""
