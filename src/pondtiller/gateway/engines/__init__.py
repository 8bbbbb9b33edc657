"""A gateway's connections to engines, and its knowledge about them."""
