"""Who asks: each protocol in which requests come, translated into the events of the core."""
