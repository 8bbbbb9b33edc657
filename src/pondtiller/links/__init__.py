"""Connections between the system's own processes: framed messages over TCP."""
