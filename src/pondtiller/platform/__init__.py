"""The users' platform: its names, formats and calls. Nothing here decides anything.

Outside this package nothing knows the platform's words; inside it nothing is decided.
"""
