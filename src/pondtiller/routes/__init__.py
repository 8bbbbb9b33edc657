"""Routing of callers' requests to services, and the engines of each service."""
