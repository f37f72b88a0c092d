"""Faults of entries: signals, restarts, settings, configuration, the store and the way to it."""

import random
import signal
from collections.abc import Callable

from soak_entries import EntryProcess
from soak_store import StoreFront

# Longest time for which a connection is held back, cut off or silent.
MAX_CUT_MS = 5_000

# Callers that press an entry from before its stop until its end, or beside another fault.
PRESSING_CALLERS = 3
PRESS_S = 8
SHORT_PRESS_S = 2

# Callers press an entry for this long before it is stopped or killed.
PRESS_MS = 200


class EntryFaults:
    """Injects faults and repairs each after a while."""

    def __init__(self, soak) -> None:
        self.soak = soak

    # Targets.

    def _entry(self, rng: random.Random) -> EntryProcess:
        return rng.choice(self.soak.entries)

    def _leader(self, rng: random.Random) -> EntryProcess:
        leader = self.soak.store.leader
        return self.soak.entries[leader] if leader is not None else self._entry(rng)

    def _some_entries(self, rng: random.Random) -> list[EntryProcess]:
        entries = self.soak.entries
        return rng.sample(entries, rng.randint(1, max(1, len(entries) - 1)))

    def _disturb(self, entry: EntryProcess, duration_ms: int, repair: Callable) -> None:
        """Count an entry as disturbed until a fault is repaired."""
        number, lives = entry.begin_fault(), entry.lives

        def end() -> None:
            repair()
            entry.end_fault(number, lives)

        self.soak.later(duration_ms, end)

    # Signals, restarts, settings and configuration.

    def _press(
        self,
        entry: EntryProcess,
        rng: random.Random,
        reason: str,
        callers: int = 1,
        seconds: float = SHORT_PRESS_S,
    ) -> None:
        """Let callers send requests in a row on connections that are kept open over a fault."""
        for _ in range(callers):
            self.soak.press(entry, rng.getrandbits(32), seconds, reason)

    def _kill(self, entry: EntryProcess, rng: random.Random) -> None:
        if entry.running:
            entry.signal(signal.SIGKILL)
            entry.begin_fault()
            self.soak.restart_later(entry, rng.randrange(100, 2_000))

    def _press_and_kill(self, entry: EntryProcess, rng: random.Random) -> None:
        self._press(entry, rng, "kill")
        self.soak.later(PRESS_MS, lambda: self._kill(entry, rng))

    def kill_entry(self, rng: random.Random) -> None:
        self._press_and_kill(self._entry(rng), rng)

    def kill_leader(self, rng: random.Random) -> None:
        self._press_and_kill(self._leader(rng), rng)

    def kill_leaders_in_a_row(self, rng: random.Random) -> None:
        """Kill a leader, then the one that has followed, perhaps before it has read everything."""
        at_ms = 0
        for _ in range(3):
            self.soak.later(at_ms, lambda: self.kill_leader(rng))
            at_ms += rng.randrange(300, 4_000)

    def lose_power(self, rng: random.Random) -> None:
        for entry in self.soak.entries:
            self._kill(entry, rng)

    def _pause(self, entry: EntryProcess, rng: random.Random) -> None:
        self._press(entry, rng, "pause")
        entry.signal(signal.SIGSTOP)
        self._disturb(entry, rng.randrange(300, 4_500), lambda: entry.signal(signal.SIGCONT))

    def pause_entry(self, rng: random.Random) -> None:
        self._pause(self._entry(rng), rng)

    def pause_leader(self, rng: random.Random) -> None:
        self._pause(self._leader(rng), rng)

    def _stop(self, entry: EntryProcess, rng: random.Random, press_ms: int = PRESS_MS) -> None:
        """Send SIGTERM while callers press the entry on connections opened before."""
        if not entry.running:
            return
        lives = entry.lives
        self._press(entry, rng, "stop", PRESSING_CALLERS, PRESS_S)

        def terminate() -> None:
            if entry.lives == lives:
                self._terminate(entry, rng)

        self.soak.later(press_ms, terminate)

    def _terminate(self, entry: EntryProcess, rng: random.Random) -> None:
        """Send SIGTERM, and start the entry again when it has ended."""
        if entry.running:
            entry.signal(signal.SIGTERM)
            self.soak.spawn(entry.kill_after_grace())
            self.soak.restart_later(entry, rng.randrange(100, 1_000))

    def stop_entry(self, rng: random.Random) -> None:
        self._stop(self._entry(rng), rng)

    def stop_leader(self, rng: random.Random) -> None:
        self._stop(self._leader(rng), rng)

    def stop_entries_in_a_row(self, rng: random.Random) -> None:
        for position, entry in enumerate(self._some_entries(rng)):
            self._stop(entry, rng, press_ms=200 + position * rng.randrange(50, 800))

    def stop_and_kill(self, rng: random.Random) -> None:
        entry = self._entry(rng)
        self._stop(entry, rng)
        self.soak.later(rng.randrange(250, 1_500), lambda: self._kill(entry, rng))

    def stop_while_paused(self, rng: random.Random) -> None:
        entry = self._entry(rng)
        self._pause(entry, rng)
        self._stop(entry, rng, press_ms=100)

    def restart_entry_in_a_row(self, rng: random.Random) -> None:
        """Stop an entry, and again while it starts or soon after."""
        entry, at_ms = self._entry(rng), 0
        for _ in range(3):
            self.soak.later(at_ms, lambda: self._stop(entry, rng))
            at_ms += rng.randrange(800, 3_000)

    def reload_settings(self, rng: random.Random) -> None:
        self._press(self._entry(rng), rng, "reload")
        for entry in self.soak.entries:
            for _ in range(rng.randint(1, 4)):
                entry.signal(signal.SIGHUP)

    def change_settings(self, rng: random.Random) -> None:
        for entry in self._some_entries(rng):
            self._press(entry, rng, "change of settings")
            entry.change_settings()
            if rng.random() < 0.7:
                entry.signal(signal.SIGHUP)
                entry.signal(signal.SIGHUP)

    def reload_over_stops(self, rng: random.Random) -> None:
        """Change the settings and reload them again and again while entries stop and start."""
        entries = self._some_entries(rng)
        for entry in entries:
            self._stop(entry, rng, press_ms=rng.randrange(50, 1_000))
        for delay_ms in sorted(rng.randrange(2_500) for _ in range(5)):
            entry = rng.choice(entries)
            self.soak.later(delay_ms, entry.change_settings)
            self.soak.later(delay_ms, lambda entry=entry: entry.signal(signal.SIGHUP))

    def change_configuration(self, rng: random.Random) -> None:
        self._press(self._entry(rng), rng, "change of configuration")
        self.soak.publish_key(rng.randint(1, 3), rng.randrange(300, 2_000))

    def change_configuration_often(self, rng: random.Random) -> None:
        self._press(self._entry(rng), rng, "change of configuration")
        for delay_ms in sorted(rng.randrange(2_000) for _ in range(6)):
            steps, life_ms = rng.randint(1, 3), rng.randrange(100, 1_500)
            self.soak.later(
                delay_ms, lambda steps=steps, ms=life_ms: self.soak.publish_key(steps, ms)
            )

    def change_configuration_over_restarts(self, rng: random.Random) -> None:
        """Change the configuration while entries end, start and take over."""
        self._stop(self._leader(rng), rng)
        entry = self._entry(rng)
        self.soak.later(rng.randrange(1_500), lambda: self._kill(entry, rng))
        self.change_configuration_often(rng)

    # The store and the way to it.

    def _disturb_store(
        self, entries: list[EntryProcess], duration_ms: int, harm: Callable[[StoreFront], None]
    ) -> None:
        for entry in entries:
            harm(entry.store_front)
            self._disturb(entry, duration_ms, entry.store_front.repair)

    def delay_store(self, rng: random.Random) -> None:
        entry = self._entry(rng)
        proxy = entry.proxy
        proxy.delay_ms = rng.randrange(50, 600)
        self._disturb(entry, rng.randrange(500, 4_000), proxy.repair)

    def cut_store(self, rng: random.Random) -> None:
        """Cut an entry off from the store, in one direction or both."""
        entry = rng.choice((self._entry(rng), self._leader(rng)))
        proxy, drop = entry.proxy, rng.random() < 0.5
        proxy.holds_requests = rng.random() < 0.5
        proxy.holds_answers = not proxy.holds_requests or rng.random() < 0.5
        self._disturb(entry, rng.randrange(500, MAX_CUT_MS), lambda: proxy.repair(drop))

    def reset_store(self, rng: random.Random) -> None:
        for entry in self._some_entries(rng):
            for proxy in entry.proxies:
                proxy.reset()
            self._disturb(entry, 0, lambda: None)

    def stop_store(self, rng: random.Random) -> None:
        def stop(front: StoreFront) -> None:
            front.away = True

        duration_ms = rng.randrange(500, 4_000)
        self._disturb_store(self.soak.entries, duration_ms, stop)

    def slow_store(self, rng: random.Random) -> None:
        slow_ms = rng.randrange(50, 800)
        self._disturb_store(
            self._some_entries(rng),
            rng.randrange(500, 4_000),
            lambda front: setattr(front, "slow_ms", slow_ms),
        )

    def turn_entries_away(self, rng: random.Random) -> None:
        status = rng.choice((503, 429, 0))
        entries = self._some_entries(rng)
        if rng.random() < 0.5 and (leader := self._leader(rng)) not in entries:
            entries.append(leader)
        self._disturb_store(
            entries,
            rng.randrange(500, 5_000),
            lambda front: setattr(front, "turned_away", status),
        )

    def _lose_writes(
        self, entries: list[EntryProcess], rng: random.Random, duration_ms: int
    ) -> None:
        lost, late = rng.uniform(0.2, 0.6), rng.uniform(0.1, 0.4)
        if rng.random() < 0.3:
            # Also the repetitions of an append get no answer, so that its outcome stays unknown.
            lost, late = 1.0, 0.0

        def harm(front: StoreFront) -> None:
            front.lost_share, front.late_share = lost, late

        self._disturb_store(entries, duration_ms, harm)

    def lose_writes(self, rng: random.Random) -> None:
        entries = rng.choice((self.soak.entries, self._some_entries(rng)))
        self._lose_writes(entries, rng, rng.randrange(500, 4_000))
