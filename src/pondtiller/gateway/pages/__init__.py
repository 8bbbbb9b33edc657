"""What a gateway tells operators: readiness, figures, the table with status.

Reads the parts of a gateway and changes nothing.
"""
