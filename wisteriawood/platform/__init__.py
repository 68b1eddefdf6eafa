"""Adapter that translates between the users' platform and wisteriawood."""
