"""Command line of fescuecrank for operators and callers."""
