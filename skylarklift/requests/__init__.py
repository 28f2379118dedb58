"""Requests of callers, from the HTTP request to its response."""
