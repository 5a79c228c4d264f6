"""Batches of items to generate, stored in the platform's log from acceptance to results."""

from oleander_batches import batch_table, content, index_reader, journal, records, submission

__all__ = ["batch_table", "content", "index_reader", "journal", "records", "submission"]
