"""The operator's own file: HCL, one block a feature. Nothing here is imported where none is named."""
