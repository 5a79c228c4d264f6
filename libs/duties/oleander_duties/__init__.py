"""Duties towards the platform that one process performs at a time, such as usage reports."""

from oleander_duties import platform, usage, usage_records, usage_totals

__all__ = ["platform", "usage", "usage_records", "usage_totals"]
