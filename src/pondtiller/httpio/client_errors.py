"""How a call to a server may fail, by whether the request may have been received."""


class NotSentError(Exception):
    """The connection failed before any byte of the request was sent."""


class BrokenError(Exception):
    """The connection failed after the request may have been received."""


class NoAnswerError(BrokenError):
    """No complete answer came within a call's time limit."""
