"""Adapter to the shared platform: its names, formats and store calls, without routing decisions."""
