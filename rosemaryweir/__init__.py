"""rosemaryweir: a query tier over many shards."""
