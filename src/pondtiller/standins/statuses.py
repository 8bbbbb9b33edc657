"""Statuses that are none of an answer in HTTP."""

TOO_LOW = (b"000", b"001", b"099")
INTERIM = (b"100", b"101", b"150", b"199")
"""Statuses of heads that come before an answer; 101 answers a request to change protocols."""
TOO_HIGH = (b"600", b"999")
NO_NUMBER = (b"2OO", b"20", b"-00", b"0000", b"2000", b"", b"\xb2\xb0\xb0")

ODD_STATUSES = {
    "too_low": TOO_LOW,
    "interim": INTERIM,
    "too_high": TOO_HIGH,
    "no_number": NO_NUMBER,
}
"""By kind."""
