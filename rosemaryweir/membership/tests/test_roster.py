"""The roster: what a view has told need not be spread."""

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
        """Spread what is to be told of the VM itself."""
    return roster


def test_news_are_spread_until_a_view_tells_them():
    roster = make_roster()
    roster.merge(MEMBERS[1], 0.0)
    assert roster.next_deltas() == [MEMBERS[1]]
    roster.merge(MEMBERS[1], 0.0, spread=False)
    assert roster.next_deltas() == []


def test_a_view_that_tells_less_leaves_the_news_to_be_spread():
    roster = make_roster()
    roster.merge(MEMBERS[1], 0.0)
    roster.set_state(MEMBERS[1]['vm'], 'suspect', 1.0)
    roster.merge(MEMBERS[1], 1.0, spread=False)
    assert [member['state'] for member in roster.next_deltas()] == ['suspect']
