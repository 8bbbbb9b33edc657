"""Property-based tests: the same examples each run, and no time limit.

An example took 738 ms beside other work and 0.6 ms alone, so its duration says nothing here.
"""

from hypothesis import settings

settings.register_profile("pondtiller", derandomize=True, deadline=None)
settings.load_profile("pondtiller")
