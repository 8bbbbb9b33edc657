"""The operators' table: rows, cells, edits and their checks; pure, no I/O."""
