"""Callers' requests, from the socket to the answer."""
