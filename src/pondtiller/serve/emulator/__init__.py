"""Stand-ins for engines, the platform, trainers and scorers.

The models are pure: the same ones run behind HTTP on loopback and inside the simulation.
"""
