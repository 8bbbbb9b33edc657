"""The replica program: keeps the step log on a small disk for the daemons."""
