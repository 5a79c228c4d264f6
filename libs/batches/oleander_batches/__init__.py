"""Batches of samples that the platform's log keeps: accepted, run, listed, ended."""

from oleander_batches import fold, journal, records, submission

__all__ = ["fold", "journal", "records", "submission"]
