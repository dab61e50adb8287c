"""Warm state that may be lost: what a node learned that helps it come back, as one small snapshot.

``snapshot`` is pure: the bytes of a snapshot (header, JSON body, BLAKE2b digest), and the judge that says,
for the bytes found at a start, the fleet's generation and ``now``, whether they may be trusted and why not.
``disk`` writes a snapshot atomically (temporary name, fsync, rename, fsync of the folder) and reads one back.
Nothing here trusts a snapshot the judge turned down: the node starts from :data:`snapshot.PRIORS` then.
"""
