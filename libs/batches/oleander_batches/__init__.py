"""Batches of samples that the platform's log keeps: accepted, run, listed, ended."""

from oleander_batches import content, fold, journal, records, submission

__all__ = ["content", "fold", "journal", "records", "submission"]
