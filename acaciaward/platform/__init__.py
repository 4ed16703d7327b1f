"""
Speaks to platforms: names, formats and calls, and no decisions.

``log``, ``cloud`` and ``calls`` are clients in the product's own dialect. The others
speak that of the users' platform: ``nodefile`` its settings, ``store`` and ``topics``
its store, ``documents`` what stands there, ``headers`` and ``questions`` its HTTP,
``duties`` its duties.
"""
