"""Daemons and stand-ins in one process over real sockets, with load and a verdict."""
