"""Encoding of messages and rows as bytes."""
