"""``rosemaryweir-agent``: the process that keeps control."""

from rosemaryweir.daemons.program import program

__all__ = ['main']

main = program(
    'agent',
    'Keep membership, configuration and leases for one VM.',
)


if __name__ == '__main__':
    main()
