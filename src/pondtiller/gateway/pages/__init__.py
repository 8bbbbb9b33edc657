"""Pages for operators: readiness, metrics, and the table with status columns.

They read the parts of a gateway and change nothing.
"""
