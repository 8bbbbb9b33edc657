"""Rollout service that shares model engines between live traffic and trainers."""
