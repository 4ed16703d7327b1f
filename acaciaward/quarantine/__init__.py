"""
Quarantine of requests that crash the endpoints that run them.

``entry`` uses ``logquarantine``, which shares its state through the log and gossip;
``gateway`` uses ``suspects``, which shares it through relays.
"""
