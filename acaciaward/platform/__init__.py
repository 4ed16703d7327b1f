"""
Translates between platforms and this project; makes no decisions of its own.

``calls`` makes the HTTP calls of all clients. ``log`` and ``cloud`` are clients of
the project's own platform API. The other modules cover the users' platform:
``nodefile`` its settings file, ``store`` and ``topics`` its store, ``documents`` the
records in the store, ``headers`` and ``discovery`` its HTTP headers and paths, and
``duties`` its interface for duties, which one entry at a time performs.
"""
