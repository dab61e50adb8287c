"""Servers for the node's clients; each one translates a network protocol into events of the core."""
