"""Servers for the node's callers; each translates one protocol into the events of the core."""
