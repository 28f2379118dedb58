"""The operators' API: configuration, status and orders to engines."""
