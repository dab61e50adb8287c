"""What a node knows and does, with no sockets and no clock: messages in, effects out, one reducer between."""
