"""Faults that a soak injects, each of which repairs itself after a while."""

import random
import signal
from collections.abc import Callable

from soak_entries import EntryProcess
from soak_store import StoreFront
from soak_workers import CAPACITY, HOLD_PATH, START_PATH, TASK_CPU, SoakWorker

STOP_PATH = "/api/run-stop"
ORDER_PATHS = (START_PATH, STOP_PATH, HOLD_PATH)

# Longest time for which a connection is held back, cut off or silent.
MAX_CUT_MS = 5_000

# Callers that press an entry from before its stop until its end.
PRESSING_CALLERS = 3
PRESS_S = 8


class Faults:
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

    def _some_workers(self, rng: random.Random) -> list[SoakWorker]:
        return rng.sample(self.soak.workers, rng.randint(1, len(self.soak.workers)))

    def _disturb(self, entry: EntryProcess, duration_ms: int, repair: Callable) -> None:
        """Count an entry as disturbed until a fault is repaired."""
        number, lives = entry.begin_fault(), entry.lives

        def end() -> None:
            repair()
            entry.end_fault(number, lives)

        self.soak.later(duration_ms, end)

    # Signals, restarts, settings and configuration.

    def _kill(self, entry: EntryProcess, rng: random.Random) -> None:
        if entry.running:
            entry.begin_fault()
            entry.signal(signal.SIGKILL)
            self.soak.restart_later(entry, rng.randrange(100, 2_000))

    def kill_entry(self, rng: random.Random) -> None:
        self._kill(self._entry(rng), rng)

    def kill_leader(self, rng: random.Random) -> None:
        self._kill(self._leader(rng), rng)

    def lose_power(self, rng: random.Random) -> None:
        for entry in self.soak.entries:
            self._kill(entry, rng)

    def _pause(self, entry: EntryProcess, rng: random.Random) -> None:
        entry.signal(signal.SIGSTOP)
        self._disturb(entry, rng.randrange(300, 4_500), lambda: entry.signal(signal.SIGCONT))

    def pause_entry(self, rng: random.Random) -> None:
        self._pause(self._entry(rng), rng)

    def pause_leader(self, rng: random.Random) -> None:
        self._pause(self._leader(rng), rng)

    def _stop(self, entry: EntryProcess, rng: random.Random, press_ms: int = 200) -> None:
        """Send SIGTERM while callers press the entry on connections opened before."""
        if not entry.running:
            return
        lives = entry.lives
        for _ in range(PRESSING_CALLERS):
            self.soak.press(entry, rng.getrandbits(32), PRESS_S)

        def terminate() -> None:
            if entry.lives == lives and entry.running:
                entry.signal(signal.SIGTERM)
                self.soak.spawn(entry.kill_after_grace())
                self.soak.restart_later(entry, rng.randrange(100, 1_000))

        self.soak.later(press_ms, terminate)

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

    def reload_settings(self, rng: random.Random) -> None:
        for entry in self.soak.entries:
            for _ in range(rng.randint(1, 4)):
                entry.signal(signal.SIGHUP)

    def change_settings(self, rng: random.Random) -> None:
        for entry in self._some_entries(rng):
            entry.change_settings()
            if rng.random() < 0.7:
                entry.signal(signal.SIGHUP)
                entry.signal(signal.SIGHUP)

    def change_configuration(self, rng: random.Random) -> None:
        self.soak.publish_key(rng.randint(1, 3), rng.randrange(300, 2_000))

    def change_configuration_often(self, rng: random.Random) -> None:
        for delay_ms in sorted(rng.randrange(2_000) for _ in range(6)):
            steps, life_ms = rng.randint(1, 3), rng.randrange(100, 1_500)
            self.soak.later(
                delay_ms, lambda steps=steps, ms=life_ms: self.soak.publish_key(steps, ms)
            )

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

    # The workers and the way to them.

    def _crash(self, rng: random.Random, keeps_id: bool, silent: bool = False) -> SoakWorker:
        server = rng.choice(self.soak.workers)
        server.crash(rng.randrange(500, 4_000), keeps_id, silent)
        return server

    def crash_worker(self, rng: random.Random) -> None:
        self._crash(rng, keeps_id=False)

    def restart_worker(self, rng: random.Random) -> None:
        self._crash(rng, keeps_id=True)

    def restart_worker_at_once(self, rng: random.Random) -> None:
        rng.choice(self.soak.workers).crash(rng.randrange(20, 200), keeps_id=True)

    def restart_worker_behind_a_cut(self, rng: random.Random) -> None:
        server = self._crash(rng, keeps_id=True, silent=True)
        self._cut_worker(server, rng, MAX_CUT_MS)

    def _cut_worker(self, server: SoakWorker, rng: random.Random, duration_ms: int) -> None:
        proxy, drop = server.proxy, rng.random() < 0.5
        proxy.holds_requests = rng.random() < 0.6
        proxy.holds_answers = not proxy.holds_requests or rng.random() < 0.5
        server.expect_late_calls(duration_ms)
        self.soak.later(duration_ms, lambda: proxy.repair(drop))

    def cut_worker(self, rng: random.Random) -> None:
        server = rng.choice(self.soak.workers)
        self._cut_worker(server, rng, rng.randrange(500, MAX_CUT_MS))

    def cut_workers_off_from_some(self, rng: random.Random) -> None:
        """Let some entries reach workers that others, the leader among them, do not reach."""
        entries = list({*self._some_entries(rng), self._leader(rng)})
        for server in self._some_workers(rng):
            duration_ms, drop = rng.randrange(1_000, MAX_CUT_MS), rng.random() < 0.5
            server.proxy.cut_off(lambda: [entry.pid for entry in entries])
            server.expect_late_calls(duration_ms)
            self.soak.later(duration_ms, lambda proxy=server.proxy, d=drop: proxy.repair(d))

    def delay_worker(self, rng: random.Random) -> None:
        server = rng.choice(self.soak.workers)
        server.proxy.delay_ms, duration_ms = rng.randrange(50, 900), rng.randrange(500, 4_000)
        server.expect_late_calls(duration_ms)
        self.soak.later(duration_ms, server.proxy.repair)

    def reset_workers(self, rng: random.Random) -> None:
        for server in self._some_workers(rng):
            server.proxy.reset()

    def shrink_worker(self, rng: random.Random) -> None:
        server = rng.choice(self.soak.workers)
        server.resize(rng.choice((0, TASK_CPU, 2 * TASK_CPU)))
        self.soak.later(rng.randrange(3_000, 9_000), lambda: server.resize(CAPACITY))

    def _disturb_calls(
        self, servers: list[SoakWorker], duration_ms: int, harm: Callable[[SoakWorker], None]
    ) -> None:
        for server in servers:
            harm(server)
            server.expect_late_calls(duration_ms)
            self.soak.later(duration_ms, server.repair_orders)

    def _delay_orders(
        self, servers: list[SoakWorker], rng: random.Random, duration_ms: int
    ) -> None:
        paths = rng.choice((ORDER_PATHS, (START_PATH,), (START_PATH, HOLD_PATH), (STOP_PATH,)))
        share = rng.uniform(0.2, 0.7)

        def harm(server: SoakWorker) -> None:
            server.late_paths, server.late_share = paths, share

        self._disturb_calls(servers, duration_ms, harm)

    def delay_orders(self, rng: random.Random) -> None:
        self._delay_orders(self._some_workers(rng), rng, rng.randrange(1_000, 5_000))

    def lose_worker_answers(self, rng: random.Random) -> None:
        share = rng.uniform(0.2, 0.7)
        self._disturb_calls(
            self._some_workers(rng),
            rng.randrange(500, 4_000),
            lambda server: setattr(server, "unanswered_share", share),
        )

    def answer_late(self, rng: random.Random) -> None:
        delay_ms = rng.randrange(100, 1_500)
        self._disturb_calls(
            self._some_workers(rng),
            rng.randrange(500, 4_000),
            lambda server: setattr(server, "answer_delay_ms", delay_ms),
        )

    def turn_starts_away(self, rng: random.Random) -> None:
        share = rng.uniform(0.3, 1.0)
        self._disturb_calls(
            self._some_workers(rng),
            rng.randrange(500, 3_000),
            lambda server: setattr(server, "turned_away_share", share),
        )

    # Pairs.

    def _remove_leader(self, rng: random.Random) -> None:
        """Kill, pause or stop the leader."""
        rng.choice((self._kill, self._kill, self._pause, self._stop))(self._leader(rng), rng)

    def lose_writes_and_leader(self, rng: random.Random) -> None:
        self._lose_writes([self._leader(rng)], rng, rng.randrange(500, 2_500))
        self.restart_worker(rng)
        self.soak.later(rng.randrange(100, 1_000), lambda: self._remove_leader(rng))

    def delay_orders_and_lose_leader(self, rng: random.Random) -> None:
        self._delay_orders(self.soak.workers, rng, rng.randrange(1_500, 4_000))
        self.soak.later(rng.randrange(100, 1_000), lambda: self._remove_leader(rng))
        self.soak.later(rng.randrange(100, 2_000), lambda: self.restart_worker(rng))

    def delay_orders_and_restart_workers(self, rng: random.Random) -> None:
        servers = self._some_workers(rng)
        self._delay_orders(servers, rng, rng.randrange(1_500, 4_000))
        for server in servers:
            self.soak.later(
                rng.randrange(50, 1_500),
                lambda server=server: server.crash(rng.randrange(50, 1_500), keeps_id=True),
            )

    def lose_power_late_orders_and_writes(self, rng: random.Random) -> None:
        self._delay_orders(self.soak.workers, rng, 1_500)
        self._lose_writes(self.soak.entries, rng, 1_500)
        self.soak.later(rng.randrange(200, 1_000), lambda: self.lose_power(rng))
        for _ in range(2):
            self.soak.later(rng.randrange(100, 2_500), lambda: self.restart_worker(rng))

    def turn_starts_away_after_lost_answers(self, rng: random.Random) -> None:
        """Refuse the repetitions of starts that are carried out late."""
        duration_ms = rng.randrange(1_500, 4_000)
        self._delay_orders(self.soak.workers, rng, duration_ms)
        for server in self.soak.workers:
            server.turned_away_share = 0.5
