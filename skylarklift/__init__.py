"""A router fleet for very many returning chats, and its parts for embedding."""

__version__ = "0.1.0"
