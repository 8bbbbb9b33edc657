"""Stand-ins of the users' platform, which the soak and tests share: store, engines, operator.

They speak the platform's words as the platform does, and are no part of what is deployed.
"""
