"""Small stand-ins of the platform, a worker and a target."""
