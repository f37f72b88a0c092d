"""Builders of declarations and declaration files for tests."""

from pathlib import Path

from fescuecrank_core.declarations import Fleet
from fescuecrank_core.loader import load_fleet

PROFILES = """
profiles:
  standard:
    need: {cpu_millis: 500, memory_mb: 256}
    max_out: 2
"""
POOLS = """
pools:
  quoting:
    profile: standard
    workers: ["quoting-[1-3]"]
"""
TEAMS = """
teams:
  orchard: {share: 3, limit: 40}
"""
SERVICES = """
services:
  quoting: {pool: quoting, profile: standard}
"""
CALENDARS = """
calendars:
  norway:
    country: "NO"
    periods:
      - {name: autumn term, first_day: 2026-08-17, last_day: 2026-12-18}
"""
FLEET = PROFILES + POOLS + TEAMS + SERVICES + CALENDARS


def write(folder: Path, text: str, name: str = "fleet.yaml") -> Path:
    """Write one declaration file and return its path."""
    file = folder / name
    file.write_text(text, encoding="utf-8")
    return file


def fleet_of(folder: Path, text: str = FLEET) -> Fleet:
    """Return the fleet that a valid declaration text describes."""
    return load_fleet(write(folder, text)).unwrap()


def large_pool(workers: int) -> str:
    """Return declarations with one pool that lists every worker by its own name."""
    names = "\n".join(f"      - rack{index // 4}-w{index}" for index in range(workers))
    return PROFILES + f"pools:\n  large:\n    profile: standard\n    workers:\n{names}\n"
