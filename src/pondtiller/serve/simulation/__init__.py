"""Deterministic simulation: the daemon's own systems on a virtual clock.

SimPy's event heap is the clock. Network, engines, platform, callers and trainers are
models; faults are drawn from the seed, so the same seed gives the same run.
"""
