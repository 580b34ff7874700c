"""``rosemaryweir-agent``: membership, configuration and leases of a VM."""

from rosemaryweir.daemons.program import make_main

__all__ = ['main']

main = make_main(
    'agent',
    'Keep membership, configuration and leases for one VM.',
)


if __name__ == '__main__':
    main()
