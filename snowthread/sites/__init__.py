"""Cooperation between the sites of a fleet.

- ``membership`` decides from heartbeats which sites are up.
- ``spillover`` allocates the load of a lost site to the others by their spare capacity.
- ``recovery_ramp`` paces the return of load to a site that is recovering.
- ``shedding`` decides which requests of other sites' clients are rejected first.
- ``client_filter`` applies that decision to each request of a node; ``settings`` reads its configuration.

All but ``client_filter`` are pure: heartbeats, measurements and the current time are arguments. Only
``client_filter`` is wired into a node so far; see docs/sites-design.md.
"""
