"""Backend servers, behind one abstract class each: model engines and plain services."""

from oleander_backends import engine, http_engine, http_service, service

__all__ = ["engine", "http_engine", "http_service", "service"]
