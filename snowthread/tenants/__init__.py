"""Whose request is it? Tenants from a directory, known while the directory is slow, wrong or gone.

``model`` and ``entry``: what a tenant is and how an entry says it. ``table``: who owns an address. ``sync``:
a synchronisation's state, from messages to changes. ``guard``: which removals are believed. ``ladder``: how
old the knowledge is and what that allows. ``unknown``: questions about callers nobody knows. ``tenancy``: all
of these as one pure state. ``disk``: the snapshot. ``follow``: the coroutine that talks to the directory.
``gate``: between the fronts and the reducer. Only the last three touch sockets or files.
"""
