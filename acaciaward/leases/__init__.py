"""
Leases that give a duty to one entry at a time; fences follow the log's order.

``entry`` uses ``leasemanager``, with one lease for each duty; ``gateway`` uses
``conditionallease``, with one lease for all duties.
"""
