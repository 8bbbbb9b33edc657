"""The step log: keys with values that outlive gateways, on a group of replicas with disks.

One gateway at a time leads. It holds a lease at a majority of the replicas and writes under an
epoch that a majority has promised; a replica refuses what comes under a lower epoch. A value
counts as written once a majority has it on disk. Nothing here does I/O: every class takes
messages and times, and returns messages.
"""
