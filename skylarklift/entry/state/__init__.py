"""Keep a router's copy of the platform's rows: configuration, zones, upstreams."""
