"""
Priorities, deadlines, limits, fair shares and retry budgets.

The processes of ``entry`` use ``queueing``, those of ``gateway`` use ``quotas`` and
``repeatbudget``.
"""
