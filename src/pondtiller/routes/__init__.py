"""Routes of callers to services, and the engines that stand behind the services."""
