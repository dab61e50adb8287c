"""Recovery of a node after a restart: the state it keeps on disk, which of it is trusted, and the warm-up.

Pure modules, without a clock or files: ``snapshot`` encodes learned times, ``snapshot_assessment`` decides
whether a snapshot found at start may be used, ``key_log`` encodes the idempotency keys whose runs may have
started, and ``membership`` tracks the node's membership in the fleet from the registry's answers.

``storage`` reads and writes the files. ``key_recorder``, ``learned_snapshots``, ``registry_member``,
``warmup``, ``request_admission`` and ``call_pacing`` each connect one concern to the event loop and the node
state. ``manager`` combines them and wraps the reducer.
"""
