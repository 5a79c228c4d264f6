"""Batches of samples that the platform's log keeps: accepted, run, listed, ended."""

from oleander_batches import batch_table, content, index_reader, journal, records, submission

__all__ = ["batch_table", "content", "index_reader", "journal", "records", "submission"]
