"""Availability zones, regions and their membership."""
