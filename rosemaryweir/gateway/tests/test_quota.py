"""All VMs together never have more connections than a target accepts."""

from hypothesis import given
from hypothesis import strategies as st

from rosemaryweir.gateway.quota import ConnectionShares, VmPlace

DOMAINS = ('a', 'b', 'c')


def fleet(sizes):
    return [
        VmPlace(f'{domain}-{number}', domain)
        for domain, size in zip(DOMAINS, sizes, strict=True)
        for number in range(size)
    ]


def rooms(vms, limit, domain='a'):
    found = {}
    for vm in vms:
        shares = ConnectionShares(vm)
        shares.update(vms)
        found[vm] = shares.room('t-1', domain, limit)
    return found


@given(
    st.tuples(*(st.integers(0, 60) for _ in DOMAINS)).filter(any),
    st.integers(10, 200),
)
def test_the_limit_holds_for_every_size_of_fleet(sizes, limit):
    assert sum(rooms(fleet(sizes), limit).values()) <= limit


def test_the_own_failure_domain_comes_first():
    found = rooms(fleet((26, 27, 26)), limit=72)
    near = [room for vm, room in found.items() if vm.domain == 'a']
    far = [room for vm, room in found.items() if vm.domain != 'a']
    assert min(near) >= 1
    assert 15 <= sum(far) <= 53
