"""Decisions of the leader: steps and their results, samples on engines, versions of weights."""
