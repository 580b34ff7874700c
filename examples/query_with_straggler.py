"""Sends one query in virtual time while one target is slow.

The query takes the whole path through the entry and leaf processes; the
targets are fakes.  Run it with ``python examples/query_with_straggler.py``.
"""

from rosemaryweir.testing import DEPLOYMENTS, Cluster

QUERY = {'service': 'patrol-desk', 'query': 'permit AB12', 'tenant': 'default'}


def main() -> None:
    """Warm the targets with queries, slow one down and query again."""
    cluster = Cluster.from_deployment(
        DEPLOYMENTS['halvorsen'],
        vms=3,
        seed=7,
        static=True,
    )
    cluster.run(10.0)
    for _ in range(200):
        cluster.ask('vm-000', 'query', QUERY)
        cluster.run(0.05)
    cluster.targets['patrol-desk-000-0'].factor = 10.0
    ask = cluster.ask('vm-000', 'query', QUERY)
    cluster.run(2.0)
    print('status:', ask.status)
    print('outcome:', ask.answer['outcome'])
    print('snapshot:', ask.answer['snapshot'])
    print('coverage:', ask.answer['coverage'])
    print('took:', round((ask.answered - ask.asked) * 1000, 1), 'ms')


if __name__ == '__main__':
    main()
