"""Registries of the policies that operators choose from."""
