"""The administration interface: HTTP/1.1 on an address of its own, one request per connection."""
