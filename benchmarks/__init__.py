"""Benchmarks: figures against stated bounds, with baselines in the same run."""
