"""Measures what control costs at growing sizes: hollow daemons on sockets, and in simulation."""
