"""Rate-limited logs, metrics and latency histograms."""

from rosemaryweir.telemetry.histogram import *
