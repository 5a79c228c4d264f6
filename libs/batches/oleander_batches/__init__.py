"""Batches of samples that the platform's log keeps: accepted, run, listed, ended."""

from oleander_batches import content, fold, index_reader, journal, records, submission

__all__ = ["content", "fold", "index_reader", "journal", "records", "submission"]
