"""Back ends: connections to them, their answers, what failures allow."""
