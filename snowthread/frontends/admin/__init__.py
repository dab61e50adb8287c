"""The administration interface: HTTP/1.1 on an address of its own, one request per connection.

:mod:`.server` has the sockets, :mod:`.codec` the bytes and :mod:`.routes` what handlers return.
"""
