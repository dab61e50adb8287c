"""One process replaces another: what the two say to each other, and the link between them.

``words`` is the codec; ``link`` finds the other process and keeps the connection. Who may take a key is up to
``core.reducer``, on what comes over the link.
"""
