"""What a daemon decides with: entities, events in, instructions out. No I/O.

Nothing in this package or in `systems` reads a clock, a socket, a log or a random source;
`tools/check_imports.py` enforces that.
"""
