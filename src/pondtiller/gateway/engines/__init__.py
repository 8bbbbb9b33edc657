"""A gateway's connections to engines, and what it knows of them."""
