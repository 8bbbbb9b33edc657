"""Utilities of every process: clocks, logs, tasks, signals, settings files.

Shared by gateway, replica and the daemons of `serve`, without depending on them.
"""
