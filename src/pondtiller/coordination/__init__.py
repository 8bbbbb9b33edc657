"""Coordination parts that can be embedded alone.

Each part is a state machine without I/O: it is given messages and the time, and it
returns typed messages to send. None reads a clock, a socket or a random source of its own.
"""
