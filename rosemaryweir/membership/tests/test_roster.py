"""Roster: changes that a view already carries are not gossiped."""

from rosemaryweir.membership.roster import Roster
from rosemaryweir.testing.deployment import HALVORSEN, vm_settings
from rosemaryweir.testing.process import static_view

MEMBERS = static_view(
    HALVORSEN.domains[0],
    vm_settings(HALVORSEN, 7),
)['members']


def make_roster():
    roster = Roster(MEMBERS[0])
    while roster.next_deltas():
        """Send the changes of the VM itself."""
    return roster


def test_change_is_sent_until_a_view_carries_it():
    roster = make_roster()
    roster.merge(MEMBERS[1], 0.0)
    assert roster.next_deltas() == [MEMBERS[1]]
    roster.merge(MEMBERS[1], 0.0, spread=False)
    assert roster.next_deltas() == []


def test_newer_state_than_in_the_view_is_still_sent():
    roster = make_roster()
    roster.merge(MEMBERS[1], 0.0)
    roster.set_state(MEMBERS[1]['vm'], 'suspect', 1.0)
    roster.merge(MEMBERS[1], 1.0, spread=False)
    assert [member['state'] for member in roster.next_deltas()] == ['suspect']
