"""The peers of a node on sockets: for each a codec and coroutines on one epoll loop."""
