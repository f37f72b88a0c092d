"""Measures by which the job scheduler starts a task once, and the assumption that they need."""

from typing import ClassVar

import attrs

from fescuecrank_model.specification import Rules


@attrs.frozen
class Measures(Rules):
    """Measures and the assumption of the job scheduler; subclasses make fields of those they test.

    The first group is in force since the incident of tasks that were started after they were done,
    the second closes the ways that it left open.
    """

    record_before_start: ClassVar[bool] = True
    claim_fenced: ClassVar[bool] = True
    earlier_start_fenced: ClassVar[bool] = True
    unmatched_done_completes: ClassVar[bool] = True
    ack_after_answer: ClassVar[bool] = True
    keep_runs_of_new_incarnation: ClassVar[bool] = True
    token_after_unanswered: ClassVar[bool] = True
    take_back_listed_run: ClassVar[bool] = True
    calls_sent_once: ClassVar[bool] = True
    discard_open_hold: ClassVar[bool] = True
    holds_numbered: ClassVar[bool] = True
    truncated_shows_none_missing: ClassVar[bool] = True
    permission_from_sending: ClassVar[bool] = True
    unread_jobs_keep_ends: ClassVar[bool] = True

    late_calls_expire: ClassVar[bool] = False
    wait_before_other_start: ClassVar[bool] = False
    wait_before_ack: ClassVar[bool] = False
    wait_for_longest_lease: ClassVar[bool] = False
    longest_lease_inherited: ClassVar[bool] = False
    clock_of_start_answers: ClassVar[bool] = False
    starts_outrank_acks: ClassVar[bool] = False
    acks_do_not_wait: ClassVar[bool] = True
    silent_holds_without_deadline: ClassVar[bool] = False
    open_starts_recorded: ClassVar[bool] = False


@attrs.frozen
class FencedRules(Measures):
    """Measures in force that are needed although no worker restarts."""

    record_before_start: bool = True
    claim_fenced: bool = True
    earlier_start_fenced: bool = True
    unmatched_done_completes: bool = True
    token_after_unanswered: bool = True
    calls_sent_once: bool = True
    holds_numbered: bool = True
    truncated_shows_none_missing: bool = True
    permission_from_sending: bool = True
    unread_jobs_keep_ends: bool = True


@attrs.frozen
class StartRules(Measures):
    """Measures that are needed as workers restart.

    `late_calls_expire` is an assumption: a call is carried out within a known time after it was
    sent, or never.
    """

    keep_runs_of_new_incarnation: bool = True
    token_after_unanswered: bool = True
    take_back_listed_run: bool = True
    late_calls_expire: bool = True
    wait_before_other_start: bool = True
    wait_before_ack: bool = True
    wait_for_longest_lease: bool = True
    longest_lease_inherited: bool = True
    clock_of_start_answers: bool = True
    starts_outrank_acks: bool = True
    acks_do_not_wait: bool = True
    silent_holds_without_deadline: bool = True
    open_starts_recorded: bool = True
