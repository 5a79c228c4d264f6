"""Implementations of the operators' commands."""
