"""The features of an operator's file: HCL, one block per feature. Imported only if a node has such a file.

``features`` reads the complete file with :mod:`snowthread.hcl` and gives each block to the feature that it
belongs to; a feature reads its own block with the same module and does not depend on this package.
"""
