"""Prober: helpers, suspicion, and pauses of the process."""

from random import Random

from rosemaryweir.membership.prober import OverdueProbe, Prober, RandomRotation

VM = {'vm': 'vm-2'}


def test_missing_answer_asks_helpers_once_then_raises_suspicion():
    prober = Prober()
    prober.start(VM, 10.0)
    assert list(prober.overdue(10.1)) == []
    assert list(prober.overdue(10.3)) == [OverdueProbe('vm-2', suspect=False)]
    assert list(prober.overdue(10.5)) == []
    assert list(prober.overdue(10.7)) == [OverdueProbe('vm-2', suspect=True)]
    assert list(prober.overdue(10.9)) == []


def test_probe_on_behalf_of_another_vm_never_becomes_overdue():
    prober = Prober()
    prober.start(VM, 10.0, on_behalf=True)
    steps = [10.1, 10.3, 10.5, 10.7, 10.9]
    assert not any(list(prober.overdue(now)) for now in steps)


def test_answer_returns_its_send_time_and_clears_older_probes():
    prober = Prober()
    first = prober.start(VM, 10.0)
    second = prober.start(VM, 10.1)
    assert prober.record_answer('vm-3', second) is None
    assert prober.record_answer('vm-2', second) == 10.1
    assert prober.record_answer('vm-2', first) is None
    assert list(prober.overdue(10.7)) == []


def test_answer_to_a_helper_cancels_the_probe():
    prober = Prober()
    prober.start(VM, 10.0)
    prober.cancel_probes('vm-2')
    assert list(prober.overdue(10.7)) == []


def test_paused_process_suspects_no_vm():
    prober = Prober()
    assert list(prober.overdue(9.9)) == []
    prober.start(VM, 10.0)
    assert list(prober.overdue(13.0)) == []
    assert list(prober.overdue(13.2)) == []


def test_rotation_returns_each_name_once_per_round():
    rotation = RandomRotation(Random(1))
    names = ['a', 'b', 'c']
    assert sorted(rotation.next(names) for _ in names) == names
    assert rotation.next([]) is None
