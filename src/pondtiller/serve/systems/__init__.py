"""The daemon's systems, in the order in which a pass runs them.

Each system is a function `run(world, now)`. It reads the events and due timers of the
pass, changes the entity tables and appends instructions. Cost follows what happened: a
system touches rows that an event or a timer names, not all rows.
"""
