"""Remembers over entries which software version of an endpoint began a stream."""
