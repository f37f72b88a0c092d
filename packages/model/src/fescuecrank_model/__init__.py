"""Specifications of the core protocol, checked exhaustively."""
