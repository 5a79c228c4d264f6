"""Texts of items whose batch has ended, for a later batch that names the items again."""

import dataclasses
import threading

from oleander_batches import submission

_MAX_TEXTS = 256
"""Past this the text kept first is forgotten and made again if asked for."""


@dataclasses.dataclass(slots=True, frozen=True)
class KnownText:
    """What was made of an item: a start, or a whole result."""

    organisation: str
    item_id: str
    model: str
    partial: submission.PartialText | None
    result: submission.ItemResult | None


class TextCache:
    """
    Keeps texts by item; thread-safe and bounded.

    A trainer that did not wait for a group hands it in again with its next step, and waits for it
    first. Made from the start, its longest texts would be late a second time.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._texts: dict[tuple[str, str], KnownText] = {}

    def add(self, texts: list[KnownText]) -> None:
        """Take in texts."""
        with self._lock:
            for text in texts:
                key = (text.organisation, text.item_id)
                self._texts.pop(key, None)
                self._texts[key] = text
            while len(self._texts) > _MAX_TEXTS:
                self._texts.pop(next(iter(self._texts)))

    def find(self, organisation: str, item_id: str, model: str) -> KnownText | None:
        """Return what is known of an organisation's item of a model."""
        with self._lock:
            known = self._texts.get((organisation, item_id))
        return known if known is not None and known.model == model else None
