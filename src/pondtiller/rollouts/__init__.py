"""What the leader decides: steps and their results, samples on engines, versions of weights."""
