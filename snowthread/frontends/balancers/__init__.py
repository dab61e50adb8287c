"""The balancers: a codec, one connection, and the hub that accepts, answers and parts."""
