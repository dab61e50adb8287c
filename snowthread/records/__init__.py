"""What a node leaves behind: a typed, versioned stream of records, from which a rough day can be told later.

``model``: the kinds of records. ``frame``: their bytes, checksummed, so that a cut or spoilt one is told
from a whole one. ``observe``: from the reducer's messages and effects to per-second totals. ``retention``:
when a file is full and which go. ``outbox``: what waits unwritten, bounded and counted. All of these are
free of I/O. ``writer`` is the child process that writes files; ``recorder`` ties them to a node. ``read``
reads any number of nodes' files back in the order of time.
"""
