"""Records: a typed, versioned stream of what a node did, from which incidents are reconstructed later.

Free of I/O:

- ``model``: the kinds of records and their fields; ``frame``: their bytes with checksums, so that a truncated
  or corrupt record is distinguished from a complete one.
- ``observer``: counts the reducer's events and effects, each ``open_request`` once; ``second``: the counts of
  a second and the record made of them; ``log_lines``: the lines of the log that are recorded.
- ``retention``: when a file is full and which files are deleted.
- ``batch`` and ``outbox``: frames, and the bounded queue of batches that are not written yet.

With I/O:

- ``files``: the files of one boot; ``writer``: the child process that writes them.
- ``writer_link``: the node's end of the socket to that process.
- ``recorder``: connects all of these to a node; ``settings``: the operator's block.
- ``reader``: merges the files of any number of nodes in order of time; ``cli``: the command line.
"""
