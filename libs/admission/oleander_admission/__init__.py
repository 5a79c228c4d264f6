"""Admission control and scheduling in front of a backend server."""

from oleander_admission import admission, work

__all__ = ["admission", "work"]
