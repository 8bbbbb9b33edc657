"""Runs of samples that a gateway holds for a leader."""
