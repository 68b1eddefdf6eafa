"""Encoding and decoding of messages and rows."""
