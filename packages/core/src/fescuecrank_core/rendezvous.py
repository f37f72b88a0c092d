"""Rendezvous hashing: spreads scopes over entries; a change of entries moves few scopes."""

from collections.abc import Iterable, Sequence

import xxhash

from fescuecrank_core.ledger_state import Member


def rank(scope: str, names: Iterable[str]) -> list[str]:
    """Return the names in order of preference for a scope."""
    return sorted(names, key=lambda name: xxhash.xxh64_intdigest(f"{scope}\0{name}".encode()))


def choose_backups(
    scope: str, holder: Member, members: Sequence[Member], count: int
) -> tuple[str, ...]:
    """Return up to `count` members other than the holder, in as many data centres as possible."""
    by_name = {member.name: member for member in members if member.name != holder.name}
    remaining = rank(scope, by_name)
    used_data_centres = {holder.data_centre}
    chosen: list[str] = []
    while remaining and len(chosen) < count:
        in_new_data_centre = [
            name for name in remaining if by_name[name].data_centre not in used_data_centres
        ]
        name = (in_new_data_centre or remaining)[0]
        remaining.remove(name)
        chosen.append(name)
        used_data_centres.add(by_name[name].data_centre)
    return tuple(chosen)
