"""``rosemaryweir-leaf``: the process that owns the connections to targets."""

from rosemaryweir.daemons.program import make_main

__all__ = ['main']

main = make_main(
    'leaf',
    'Own targets: their connections, slots and cold limits.',
)


if __name__ == '__main__':
    main()
