"""Recovery of a node after a restart: what it keeps on disk, what it trusts of it, and how it warms up.

Pure parts: ``snapshot`` (format and assessment of what a node learned), ``key_log`` (format of the keys
whose runs may have begun) and ``membership`` (the node's place in the fleet by the registry's answers).
``storage`` writes and reads the files. ``key_recorder``, ``learned_snapshots``, ``registry_member``,
``request_admission`` and ``call_pacing`` each wire one concern to the event loop and the state; ``manager``
composes them around the reducer.
"""
