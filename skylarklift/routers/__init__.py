"""Communication between routers: messages, connections, membership and gossip."""
