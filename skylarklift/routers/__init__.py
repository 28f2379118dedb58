"""The other routers: messages, connections, the view of members, exchange."""
