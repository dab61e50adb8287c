"""Records: a typed, versioned stream of what a node did, from which incidents are reconstructed later.

``model`` defines the kinds of records and their fields. ``frame`` encodes them with checksums, so that a
truncated or corrupt record is told from a whole one. ``observer`` counts the reducer's events and effects;
``second`` holds the counts and turns them into a record. ``retention`` decides when a file is full and which
files are deleted. ``outbox`` is the bounded queue of batches that are not written yet. All of these are free
of I/O.

``writer`` is the child process that writes the files, ``recorder`` connects it to a node, ``reader`` merges
the files of any number of nodes in order of time, and ``settings`` reads the operator's block.
"""
