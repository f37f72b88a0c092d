"""The time that a hold takes, on which the leases of restarted workers depend."""

from fescuecrank_platform.worker_client import HOLD_SLACK_MS
from fescuecrank_scheduler.limits import Limits


def test_client_waits_for_a_hold_no_longer_than_the_scheduler_assumes():
    """A hold that arrives later may extend a lease that counts as over."""
    assert Limits().hold_slack_ms >= HOLD_SLACK_MS
