"""``rosemaryweir-entry``: the process that takes the requests of callers."""

from rosemaryweir.daemons.program import program

__all__ = ['main']

main = program(
    'entry',
    'Serve callers: queries, orders, directory, health, status.',
)


if __name__ == '__main__':
    main()
