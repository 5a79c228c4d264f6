"""Names that appear in paths, in metrics and in the log."""

import re

MAX_NAME_LENGTH = 64
OPERATOR = "operator"
"""Whoever holds this name's token is an operator; no customer may be called so."""

RULE = f"lower-case letters, digits and hyphens, first a letter, at most {MAX_NAME_LENGTH}"

_PATTERN = re.compile(rf"[a-z][a-z0-9-]{{0,{MAX_NAME_LENGTH - 1}}}", re.ASCII)


def is_name(text: str) -> bool:
    """Tell whether a text can name a customer, an operation, a trainer, a backend or a model."""
    return _PATTERN.fullmatch(text) is not None
