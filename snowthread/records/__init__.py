"""Records: a typed, versioned stream of what a node did, from which incidents are reconstructed later.

Modules without I/O:

- ``model``: the kinds of records and their fields.
- ``frame``: the binary encoding of a record with a checksum, by which a reader tells a complete record from a
  truncated or corrupt one.
- ``observer``: counts the events and effects of the reducer, each request by its ``open_request``.
- ``second``: the counts of one second, and the fields of the record that is made of them.
- ``log_lines``: selects the log lines that are recorded.
- ``retention``: decides when a file is full and which files are deleted.
- ``batch`` and ``outbox``: a batch of frames, and the bounded queue of batches that wait to be written.

Modules with I/O:

- ``files``: the files of one boot.
- ``writer``: the child process that writes these files.
- ``writer_link``: the node's end of the socket to that process.
- ``recorder``: connects the modules above to a node.
- ``settings``: reads the ``records`` block of the operator's file.
- ``reader``: reads the files of any number of nodes and merges their records by time.
- ``cli``: the command ``snowthread records``.
"""
