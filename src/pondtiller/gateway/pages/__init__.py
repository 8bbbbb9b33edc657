"""What a gateway tells operators: readiness, figures, the table with status."""
