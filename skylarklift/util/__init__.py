"""Helpers that know nothing of routing."""
