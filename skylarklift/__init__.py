"""A router fleet for very many multi-turn chats, with components for embedding."""

__version__ = "0.1.0"
