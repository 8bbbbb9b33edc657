"""The replica program: keeps the step log on a small disk for the gateways.

Owns a machine's file of the log, its links, its object in the store and its mirror. What a replica
promises and holds is decided in `steplog.replica`, without I/O.
"""
