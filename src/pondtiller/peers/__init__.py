"""A gateway's communication with the replicas and the leader."""
