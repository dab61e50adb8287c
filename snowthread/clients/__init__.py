"""Whom the node asks or tells: the runtime, the index and the roster."""
