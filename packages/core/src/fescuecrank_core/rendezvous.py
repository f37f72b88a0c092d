"""Rendezvous hashing: spreads scopes over entries and moves few when the entries change."""

from collections.abc import Iterable, Sequence

import xxhash

from fescuecrank_core.ledger_state import Member


def rank(scope: str, names: Iterable[str]) -> list[str]:
    """Return the names in the order of preference for a scope."""
    return sorted(names, key=lambda name: xxhash.xxh64_intdigest(f"{scope}\0{name}".encode()))


def choose_backups(
    scope: str, holder: Member, members: Sequence[Member], count: int
) -> tuple[str, ...]:
    """Return up to `count` members other than the holder, in as many data centres as possible."""
    by_name = {member.name: member for member in members if member.name != holder.name}
    waiting = rank(scope, by_name)
    used = {holder.data_centre}
    chosen: list[str] = []
    while waiting and len(chosen) < count:
        elsewhere = [name for name in waiting if by_name[name].data_centre not in used]
        name = (elsewhere or waiting)[0]
        waiting.remove(name)
        chosen.append(name)
        used.add(by_name[name].data_centre)
    return tuple(chosen)
