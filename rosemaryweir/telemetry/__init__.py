"""Telemetry: log events, metrics, histograms."""

from rosemaryweir.telemetry.histogram import *
