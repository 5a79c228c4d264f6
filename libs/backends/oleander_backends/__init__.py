"""Backend servers, behind one abstract class each: model engines and plain services."""

from oleander_backends import engine, service

__all__ = ["engine", "service"]
