"""The front of those who run the node: HTTP/1.1 on an address of its own, one call a connection."""
