"""Decide which requests are sent, wait or are refused while room is short."""
