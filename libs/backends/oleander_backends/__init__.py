"""Interfaces to the two kinds of backend servers, model engines and plain services."""

from oleander_backends import engine, http_engine, http_service, service

__all__ = ["engine", "http_engine", "http_service", "service"]
