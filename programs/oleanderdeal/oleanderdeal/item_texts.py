"""Cache of texts of ended batches, for later batches that contain the same items."""

import dataclasses
import threading

from oleander_batches import submission

_MAX_TEXTS = 256
"""Above this number the oldest text is evicted, and a later batch generates its item anew."""


@dataclasses.dataclass(slots=True, frozen=True)
class KnownText:
    """The text of an item: a partial text or a complete result; the other is `None`."""

    organisation: str
    item_id: str
    model: str
    partial: submission.PartialText | None
    result: submission.ItemResult | None


class TextCache:
    """
    Maps items to their texts; thread-safe and bounded.

    A trainer that continues without the results of a slow group submits the group again with its
    next step, and waits for this group first. If the group's longest texts were then generated
    from the start, they would be late again.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._texts: dict[tuple[str, str], KnownText] = {}

    def add(self, texts: list[KnownText]) -> None:
        """Add texts, and evict the oldest above the bound."""
        with self._lock:
            for text in texts:
                key = (text.organisation, text.item_id)
                self._texts.pop(key, None)
                self._texts[key] = text
            while len(self._texts) > _MAX_TEXTS:
                self._texts.pop(next(iter(self._texts)))

    def find(self, organisation: str, item_id: str, model: str) -> KnownText | None:
        """Return an item's text, or `None` if it is unknown or of another model."""
        with self._lock:
            known = self._texts.get((organisation, item_id))
        return known if known is not None and known.model == model else None
