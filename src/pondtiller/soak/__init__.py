"""A fault soak: the real programs as processes, faults from outside, promises checked meanwhile."""
