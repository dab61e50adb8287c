"""The terminal console: nodes and recent events, from files of records that grow or that are replayed.

``model`` keeps what is known of each node, ``screen`` draws it, ``tail`` and ``replay`` are the sources of
records, ``keyboard`` reads keys, ``live`` is the loop that connects them, and ``cli`` is the command.
"""
