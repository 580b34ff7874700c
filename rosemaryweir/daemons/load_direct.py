"""Baseline of a load run: queries that are sent to the targets directly.

The client queries one replica of each shard itself.  The difference to its
latency is the latency that the tier adds.
"""

import asyncio
import json
import pathlib
from collections.abc import Iterator
from itertools import count
from random import Random
from typing import Any

from rosemaryweir.daemons.clock import MS_PER_SECOND
from rosemaryweir.transport.exchange import encode_json
from rosemaryweir.transport.fetch import HttpPool

__all__ = ['DirectClient']


class DirectClient:
    """Queries targets without the tier.

    Parameters
    ----------
    config : dict
        Configuration in the format of the stand-in targets.
    pool : HttpPool
        Connections to the targets.
    rng : random.Random
        Random number generator for the choice of replicas.
    """

    def __init__(
        self,
        config: dict[str, Any],
        pool: HttpPool,
        rng: Random,
    ) -> None:
        self._config = config
        self._pool = pool
        self._rng = rng
        self._attempt_numbers = count(1)

    @classmethod
    def from_file(
        cls, path: str, pool: HttpPool, rng: Random
    ) -> 'DirectClient':
        """Return a client for the targets in a configuration file."""
        return cls(json.loads(pathlib.Path(path).read_text()), pool, rng)

    async def query(self, service: str, text: str, seconds: float) -> bool:
        """Query one replica of each shard; return whether all answered.

        Raises
        ------
        OSError
            If a target does not answer in time.
        """
        queries = (
            self._query_shard(address, shard, text, seconds)
            for shard, address in self._choose_replicas(service)
        )
        return all(await asyncio.gather(*queries))

    def _choose_replicas(self, service: str) -> Iterator[tuple[str, str]]:
        shards = self._config['services'][service]['shards']
        for name, shard in shards.items():
            target = self._rng.choice(shard['targets'])
            yield name, self._config['targets'][target]['address']

    async def _query_shard(
        self,
        address: str,
        shard: str,
        text: str,
        seconds: float,
    ) -> bool:
        body = {'shard': shard, 'layout': 0, 'version': 0, 'text': text}
        attempt = f'straight-{next(self._attempt_numbers)}'
        reply = await self._pool.request(
            address,
            'POST',
            '/v1/search',
            (
                ('x-attempt', attempt),
                ('x-deadline-ms', str(round(seconds * MS_PER_SECOND))),
            ),
            encode_json(body),
            seconds,
        )
        is_own_reply = reply.headers.get('x-attempt') == attempt
        return is_own_reply and json.loads(reply.body)['status'] == 'ok'
