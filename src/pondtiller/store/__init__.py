"""The platform's store as gateways and replicas follow it: itself, and through mirrors."""
