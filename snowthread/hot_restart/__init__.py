"""Hot restart: a new process of a node replaces the old one without an interruption for clients.

``messages`` is the codec of the messages between the two processes, ``socket_file`` finds the peer process in
the shared directory, ``link`` is one connection with a bounded outgoing queue, and ``channel`` is the state
machine of the hot restart. ``core.reducer`` decides which process may claim an idempotency key, from the
events that it receives through the channel.
"""
