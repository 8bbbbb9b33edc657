"""Started requests of each tenant by time window: counted, summed up and reported.

Daemons count, and the leader sums up and reports each window once. No I/O.
"""
