"""Settings files, checked on entry: each problem is named with file, key and reason."""
