"""Place chats within the load bound: one router at a time admits for a pool."""
