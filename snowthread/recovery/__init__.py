"""Recovery of a node after a restart: what it stores on disk, what it trusts of it, and how it warms up.

Pure parts: ``snapshot`` and ``snapshot_assessment`` (format of what a node learned, and whether it is to be
trusted), ``key_log`` (format of the keys whose runs may have begun) and ``membership`` (the node's place in
the fleet by the registry's answers). ``storage`` writes and reads the files. ``key_recorder``,
``learned_snapshots``, ``registry_member``, ``warmup``, ``request_admission`` and ``call_pacing`` each wire
one concern to the event loop and the state; ``manager`` composes them around the reducer.
"""
