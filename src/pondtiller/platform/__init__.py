"""The users' platform: its names, formats and calls. Contains no decisions.

No code outside this package uses the platform's words, and no code inside it decides anything.
"""
