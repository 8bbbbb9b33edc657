"""Drawn tests: the same examples each run, and no limit of elapsed time.

An example took 738 ms beside other work and 0.6 ms alone; how long one takes says nothing here.
"""

from hypothesis import settings

settings.register_profile("pondtiller", derandomize=True, deadline=None)
settings.load_profile("pondtiller")
