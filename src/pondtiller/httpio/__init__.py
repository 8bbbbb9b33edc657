"""HTTP/1.1 over curio sockets with h11, for both sides, with limits on everything read."""
