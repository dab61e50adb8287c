"""The operator's file: HCL, one block per feature. Imported only if a node is started with such a file.

``hcl`` reads blocks key by key and depends on no feature; each feature's settings read their own block with
it; ``features`` reads the whole file and depends on them.
"""
