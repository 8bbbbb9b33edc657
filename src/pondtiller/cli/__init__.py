"""The `pondtiller` command line, by cleo."""
