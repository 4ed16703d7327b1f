"""
Chooses the endpoint for a request.

The processes of ``entry`` use ``balanced``, those of ``gateway`` use ``occupancy``.
"""
