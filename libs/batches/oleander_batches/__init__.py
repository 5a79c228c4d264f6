"""Batches of items to generate, stored in the platform's log from acceptance to results."""

from oleander_batches import (
    batch_table,
    content,
    index_reader,
    journal,
    manifests,
    records,
    result_queue,
    submission,
)

__all__ = [
    "batch_table",
    "content",
    "index_reader",
    "journal",
    "manifests",
    "records",
    "result_queue",
    "submission",
]
