"""Priorities, deadlines, limits, fair shares and retry budgets."""
