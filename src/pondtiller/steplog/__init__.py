"""The step log: keys with values that outlive gateways, on a group of replicas with disks.

One gateway at a time is the leader. It holds a lease from a majority of the replicas and writes
under an epoch that a majority has promised; a replica rejects writes under a lower epoch. A value
is committed once a majority has it on disk. Nothing here does I/O: every class takes messages and
times, and returns messages.
"""
