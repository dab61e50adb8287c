"""The fleet's sites: which are up, where a lost site's load goes, and how it is given back.

All pure: beats, measures and ``now`` come in, states and shares come out. ``members`` says which sites are
up; ``spill`` deals the load of those that are not to the others by what they can spare; ``giveback`` paces
the return of one that is back. Nothing here is wired into a node yet: see docs/sites-design.md.
"""
