"""Who goes first at a backend server, and who is refused."""

from oleander_admission import admission, work

__all__ = ["admission", "work"]
