"""Emulators of the systems that a node communicates with, such as its runtime, database and balancers.

They are written from the public protocol descriptions and controlled by scripts. They use the node's event
loop and address type but none of its codecs, so that an error in a codec is not hidden by the same error on
the other side of the connection.
"""
