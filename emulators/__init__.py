"""Emulators of what a node talks to, written from the public descriptions and driven by scripts.

They share the node's event loop and addresses, never its codecs, so that a mistake in one does not hide the
same mistake in the other.
"""
