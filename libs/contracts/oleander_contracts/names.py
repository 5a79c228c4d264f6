"""The syntax of names that appear in paths, in metrics and in the log."""

import re

MAX_NAME_LENGTH = 64
OPERATOR = "operator"
"""The token of this name authenticates operators, so no customer may have it."""

RULE = f"lower-case letters, digits and hyphens, first a letter, at most {MAX_NAME_LENGTH}"

_PATTERN = re.compile(rf"[a-z][a-z0-9-]{{0,{MAX_NAME_LENGTH - 1}}}", re.ASCII)


def is_name(text: str) -> bool:
    """Tell whether a text is a valid name of a customer, operation, trainer, backend or model."""
    return _PATTERN.fullmatch(text) is not None
