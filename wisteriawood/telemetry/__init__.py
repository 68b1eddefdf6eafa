"""Metrics, spans and numbered events."""
