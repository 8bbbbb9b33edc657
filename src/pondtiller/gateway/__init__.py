"""The daemon on the users' platform: callers, routing, steps, and the leader's duties."""
