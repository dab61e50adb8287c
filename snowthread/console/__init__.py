"""The terminal console: shows nodes and recent events from growing or replayed record files.

``model`` keeps the present state of each node and ``screen`` renders it; ``sorting`` defines the orders of
nodes. ``tail`` and ``replay`` are the sources of records, ``keyboard`` reads keys, and ``live`` is the loop
that connects them. ``cli`` is the command ``snowthread console``.
"""
