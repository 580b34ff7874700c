"""``rosemaryweir-entry``: the process that serves callers."""

from rosemaryweir.daemons.program import make_main

__all__ = ['main']

main = make_main(
    'entry',
    'Serve callers: queries, orders, directory, health, status.',
)


if __name__ == '__main__':
    main()
