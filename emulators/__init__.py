"""Stand-ins for what a node talks to, written from the public descriptions and driven by scripts.

They share the node's loop and addresses, never its codecs: a mistake made on both sides would hide.
"""
