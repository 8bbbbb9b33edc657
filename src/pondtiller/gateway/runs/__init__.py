"""Runs of samples that a gateway executes for a leader."""
