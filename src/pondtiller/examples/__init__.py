"""Deployments that come with the program."""
