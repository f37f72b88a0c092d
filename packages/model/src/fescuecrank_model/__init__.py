"""Specifications of the core protocol, checked by exhaustive search."""
