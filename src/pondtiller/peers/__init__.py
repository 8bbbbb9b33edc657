"""How a gateway reaches the replicas and the leader, and what it asks of them."""
