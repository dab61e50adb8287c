"""Cooperation between the sites of a fleet.

- ``membership`` decides from heartbeats which sites are up.
- ``spillover`` distributes the load of a lost site among the other sites by their spare capacity.
- ``recovery_ramp`` limits how fast load returns to a recovering site.
- ``shedding`` decides which requests of other sites' clients are rejected first.
- ``client_filter`` applies that decision to each request of a node, and ``settings`` reads its configuration.

All modules but ``client_filter`` are pure: they take heartbeats, measurements and the current time as
arguments. Nodes use only ``client_filter`` so far; see docs/sites-design.md.
"""
