"""Duties towards the platform that one process does at a time: reports of use."""

from oleander_duties import platform, usage, usage_records, usage_totals

__all__ = ["platform", "usage", "usage_records", "usage_totals"]
