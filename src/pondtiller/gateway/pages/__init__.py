"""What a gateway shows operators: readiness, figures, the table with status.

Reads the parts of a gateway and changes nothing.
"""
