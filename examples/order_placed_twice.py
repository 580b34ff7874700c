"""Places an order twice with the same key, at two VMs, in virtual time.

The second request returns the recorded outcome; a target runs the order only
once.  Run it with ``python examples/order_placed_twice.py``.
"""

from rosemaryweir.testing import DEPLOYMENTS, Cluster

ORDER = {'service': 'print-orders', 'order_key': 'disc-77', 'body': 'one disc'}


def main() -> None:
    """Place the order at one VM, then at another, and print its runs."""
    cluster = Cluster.from_deployment(
        DEPLOYMENTS['halvorsen'],
        vms=3,
        seed=7,
        static=True,
    )
    cluster.run(10.0)
    for vm in ('vm-000', 'vm-002'):
        ask = cluster.ask(vm, 'order', ORDER)
        cluster.run(3.0)
        recorded = ask.answer['recorded']
        print(vm, ask.answer['outcome'], 'recorded:', recorded)
    runs = sum(len(target.runs) for target in cluster.targets.values())
    print('runs:', runs)


if __name__ == '__main__':
    main()
