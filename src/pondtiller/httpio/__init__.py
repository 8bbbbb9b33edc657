"""HTTP/1.1 over curio sockets by h11, for both sides, with bounds on everything read."""
