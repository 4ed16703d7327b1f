"""
Plans and orders which instances to rent, load and release, by demand and price.

``entry`` rents instances with ``fleetmanager``; ``gateway`` orders numbers of endpoints
with ``endpointscaling``.
"""
