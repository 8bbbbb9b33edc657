"""The replica program: stores the step log on a small disk for the gateways.

Holds a machine's log file, its links, its object in the store and its mirror. The replica's
promises and contents are decided in `steplog.replica`, without I/O.
"""
