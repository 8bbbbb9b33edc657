"""Callers' requests at a gateway: admission, choice of an engine, attempts, answers."""
