"""The administration interface: HTTP/1.1 on its own address, one request per connection.

:mod:`.server` handles the sockets, :mod:`.codec` parses requests and encodes responses, and :mod:`.routes`
defines the route table and what the handlers return.
"""
