"""The operators' table: rows, cells, edits and their validation. No I/O."""
