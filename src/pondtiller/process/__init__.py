"""What every process needs: clocks, logs, tasks, signals, settings files.

Shared by gateway, replica and the daemons of `serve`; knows none of them.
"""
