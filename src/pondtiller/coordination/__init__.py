"""Coordination components that can be embedded on their own.

Each component is a state machine without I/O: it is given messages and the time, and returns typed
messages to send. None reads a clock, a socket or a random source of its own.
"""
