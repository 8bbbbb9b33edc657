"""The program `serve` and all that is its own: daemons that are equal, without a leader."""
