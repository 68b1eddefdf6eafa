"""Policies that operators select by name, with a registry for each kind."""
