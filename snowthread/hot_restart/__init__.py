"""Hot restart: a new process of a node replaces the old one while clients are served.

``messages`` is the codec of what the two processes send each other, ``socket_file`` finds the peer process in
the shared directory, ``link`` is one connection with its bounded outgoing queue, and ``channel`` follows the
hot restart through its states. Which process may claim an idempotency key is decided by ``core.reducer`` from
the events that come over the channel.
"""
