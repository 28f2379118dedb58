"""The command-line tool; most commands call the operators' API of a router."""
