"""Subcommands of the command line, registered by name."""
