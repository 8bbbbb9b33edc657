"""What a gateway does while it leads: its terms, its log, its work in a term."""
