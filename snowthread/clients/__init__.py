"""Clients of the peers that a node calls or reports to: the runtime, the database and the registry."""
