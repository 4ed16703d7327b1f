"""
Builds what bounds an entry's share of quotas and retries.

How much an entry may spend on its own depends on how many entries there are, which it
hears from peers and reads in the store.
"""

import time

from acaciaward.admission import quotas, quotastore, repeatbudget
from acaciaward.catalogue import routes
from acaciaward.gateway import duties
from acaciaward.membership import contacts, entrycount
from acaciaward.platform import store, topics

QUOTAS_TOPIC = "keyed.acaciaward.quotas"
ENTRIES_TOPIC = "keyed.acaciaward.entries"


class EntryQuotas:
    """
    The quotas of one entry, and the entries that they are divided among.

    ``contacts`` finds entries through the store, ``saver`` keeps the levels there, and
    ``repeats`` bounds the retries of all entries together.
    """

    def __init__(
        self,
        platform_store: store.Store,
        membership: contacts.Membership,
        entry_duties: duties.EntryDuties,
        bounds: dict[str, float],
    ):
        self.known_entries = entrycount.EntryCount(
            membership.name,
            time.monotonic,
            saved=lambda: self.saver.saved_entry_count,
        )
        self.contacts = contacts.Contacts(
            topics.KeyedTopic(platform_store, ENTRIES_TOPIC),
            membership,
            self.known_entries,
            era=lambda: platform_store.era,
            now=entry_duties.clock.now,
        )
        self.quotas = quotas.Quotas(time.monotonic, self.known_entries.count)
        self.saver = quotastore.Saver(
            topics.KeyedTopic(platform_store, QUOTAS_TOPIC),
            self.quotas,
            is_duty_holder=lambda: entry_duties.is_held,
            now=entry_duties.clock.now,
            entry_count=self.known_entries.count,
        )
        self.repeats = repeatbudget.RepeatBudgets(
            repeatbudget.Budget(
                bounds["repeat_ratio"],
                bounds["repeat_burst"],
                bounds["repeat_window_s"],
            ),
            time.monotonic,
            self.known_entries.count,
            has_predecessor=lambda: self.saver.saved_entry_count > 0,
        )
        self._tolerance = quotas.Tolerance(
            bounds["quota_window_s"], bounds["quota_overshoot"], bounds["quota_slack"]
        )

    def use_catalogue(self, catalogue: routes.Catalogue) -> None:
        """Set the rules of the organisations that have a quota."""
        self.quotas.set_rules(
            {
                organisation.name: quotas.admission_rule(
                    organisation.quota.rate, organisation.quota.burst, self._tolerance
                )
                for organisation in catalogue.organisations.values()
                if organisation.quota is not None
            }
        )
