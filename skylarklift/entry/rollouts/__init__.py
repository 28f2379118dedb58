"""Roll-outs: move the traffic of a service to another software version, or revert that."""
