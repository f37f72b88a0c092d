"""Faults that a soak injects, each of which repairs itself after a while: pairs and series."""

import random

from soak_store import StoreFront
from soak_worker_faults import LONG_CUT_MS, MAX_WAIT_FOR_START_MS, STALE_MS, WorkerFaults
from soak_workers import SoakWorker

# Groups of workers that restart at once, after a time without contact, and are cut off together.
# Now and then they are away for longer than a caller waits twice.
DARK_MS, LONG_DARK_MS, LONG_DARK_SHARE = (400, 800), (800, 2_500), 0.2
GROUP_LEAD_MS = 1_000
GROUP_STALE_MS = (0, 1_500)
# Early cuts and stops are drawn more often: the lease by a call with the former clock ends a fixed
# time after the restart.
GROUP_CUT_AFTER_MS = ((0, 1_000), (0, 3_000))
# A cut has to outlast the lease that the leader expects, mostly.
GROUP_CUT_MS = ((7_500, 10_000), (7_500, 10_000), (3_000, 12_000))

# When a leader resigns, counted from the restart of a group; its successor, in a share of the
# cases, somewhat later.
RESIGN_MS = ((0, 1_200), (0, 1_200), (-1_000, 3_000))
SECOND_RESIGN_SHARE, SECOND_RESIGN_MS = 0.3, (500, 3_000)


class Faults(WorkerFaults):
    """All faults of a soak; those here are made of others."""

    # Pairs.

    def _remove_leader(self, rng: random.Random) -> None:
        """Kill, pause or stop the leader."""
        rng.choice((self._kill, self._kill, self._pause, self._stop))(self._leader(rng), rng)

    def lose_writes_and_leader(self, rng: random.Random) -> None:
        self._lose_writes([self._leader(rng)], rng, rng.randrange(500, 2_500))
        self.restart_worker(rng)
        self.soak.later(rng.randrange(100, 1_000), lambda: self._remove_leader(rng))

    def lose_answers_and_turn_away(self, rng: random.Random) -> None:
        """Carry out appends without an answer, reset their connections and refuse the copies."""
        entries = rng.choice((self.soak.entries, self._some_entries(rng)))
        stall_ms, away_ms = rng.randrange(50, 300), rng.randrange(500, 3_000)

        def stall(front: StoreFront) -> None:
            front.lost_share = 1.0
            self.soak.later(stall_ms, lambda: setattr(front, "turned_away", 503))

        def reset() -> None:
            for entry in entries:
                for proxy in entry.proxies:
                    proxy.reset()

        self._disturb_store(entries, stall_ms + away_ms, stall)
        self.soak.later(stall_ms, reset)

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

    def keep_starts_and_lose_leader(self, rng: random.Random) -> None:
        """Let a successor take over while starts of the leader reach later incarnations."""
        self.keep_starts_for_next_incarnation(rng)
        self.soak.later(rng.randrange(100, 2_500), lambda: self._remove_leader(rng))

    def restart_workers_and_lose_leader(self, rng: random.Random) -> None:
        """Let a successor adopt the runs of workers that restarted unnoticed and are cut off."""
        for server in self._some_workers(rng):
            server.restart_unnoticed(rng.randrange(20, 200), rng.randrange(*STALE_MS), silent=False)
            cut_ms, drop = rng.randrange(*LONG_CUT_MS), rng.random() < 0.5
            self.soak.spawn(server.cut_off_after_start(MAX_WAIT_FOR_START_MS, cut_ms, drop))
        remove = rng.choice((self._kill, self._stop))
        self.soak.later(rng.randrange(50, 700), lambda: remove(self._leader(rng), rng))

    def restart_groups_and_resign(self, rng: random.Random) -> None:
        """Restart a group of workers and cut it off, while leaders resign.

        Nothing that was sent to the former incarnations is carried out by the later ones.
        """
        self._restart_group(rng, takes_calls=False)

    def restart_groups_with_calls_and_resign(self, rng: random.Random) -> None:
        """Let the later incarnations carry out what was sent while they were away as well."""
        self._restart_group(rng, takes_calls=True)

    def _restart_group(self, rng: random.Random, takes_calls: bool) -> None:
        workers = self.soak.workers
        group = rng.sample(workers, max(1, len(workers) // rng.choice((2, 3))))
        away_ms = rng.randrange(*(LONG_DARK_MS if rng.random() < LONG_DARK_SHARE else DARK_MS))
        stale_ms, drop = rng.randrange(*GROUP_STALE_MS), rng.random() < 0.5
        cut_ms = rng.randrange(*rng.choice(GROUP_CUT_MS))
        cut_at_ms = GROUP_LEAD_MS + away_ms + rng.randrange(*rng.choice(GROUP_CUT_AFTER_MS))
        resign_ms = GROUP_LEAD_MS + away_ms + rng.randrange(*rng.choice(RESIGN_MS))

        def restart() -> None:
            self.soak.count("groups reborn")
            for server in group:
                server.restart_in_group(away_ms, stale_ms, takes_calls)

        self.soak.later(GROUP_LEAD_MS, restart)
        self.soak.later(cut_at_ms, lambda: self._cut_group(group, cut_ms, drop))
        self.soak.later(resign_ms, lambda: self._terminate(self._leader(rng), rng))
        if rng.random() < SECOND_RESIGN_SHARE:
            resign_ms += rng.randrange(*SECOND_RESIGN_MS)
            self.soak.later(resign_ms, lambda: self._terminate(self._leader(rng), rng))

    def _cut_group(self, group: list[SoakWorker], cut_ms: int, drop: bool) -> None:
        for server in group:
            work = "after" if server.worker.alive and server.has_started else "without"
            self.soak.count(f"workers of reborn groups cut off {work} work")
            server.cut_off(cut_ms, drop)

    def leave_odd_entry_and_lose_leader(self, rng: random.Random) -> None:
        """Let a successor, and a process that starts, read a list with an odd entry."""
        self.leave_odd_entry(rng)
        self.soak.later(rng.randrange(100, 1_000), lambda: self.kill_leader(rng))
