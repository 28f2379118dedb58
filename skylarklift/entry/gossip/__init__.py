"""Exchange messages with the other routers, and know which there are."""
