"""How many requests of each tenant engines began, by window of time: counted, gathered, reported.

Daemons count, the leader adds up and reports each window once. No I/O.
"""
