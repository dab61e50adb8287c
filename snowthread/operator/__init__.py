"""The optional features in an operator's file: HCL with one block per feature.

``features`` reads the complete file with :mod:`snowthread.hcl` and passes each block to the feature that it
configures. A feature reads its own block with the same module and does not depend on this package, which is
imported only if a node has an operator's file.
"""
