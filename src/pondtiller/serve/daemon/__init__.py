"""Driver one: the daemon process over curio, real sockets and the machine's clock."""
