"""Work of a gateway while it is the leader: its terms, its log, and its tasks in a term."""
