"""The command-line tool: each command is a small function over calls of the API."""
