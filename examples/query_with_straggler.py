"""Ask one query of a deployment in virtual time, with a straggling target.

The whole path runs: entry and leaf decide, fakes stand in for targets.  Run
it with ``python examples/query_with_straggler.py``.
"""

from rosemaryweir.testing import DEPLOYMENTS, Cluster

QUERY = {'service': 'patrol-desk', 'query': 'permit AB12', 'tenant': 'default'}


def main() -> None:
    """Warm the tier up, slow one target down, ask, print the answer."""
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
