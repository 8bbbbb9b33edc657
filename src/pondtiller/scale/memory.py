"""Reads how much memory this process holds."""

from pathlib import Path

PAGES_FILE = Path("/proc/self/statm")
PAGE_BYTES = 4096
RESIDENT_FIELD = 1


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes (Linux)."""
    return int(PAGES_FILE.read_text().split()[RESIDENT_FIELD]) * PAGE_BYTES


def machine_bytes() -> int:
    """Return the memory of the machine in bytes (Linux)."""
    for line in Path("/proc/meminfo").read_text().splitlines():
        if line.startswith("MemTotal:"):
            return int(line.split()[1]) * 1024
    return 0
