"""
Gives the origins of streams what an entry knows of its endpoints and routes.

    streams = EntryStreams(store, membership, directory, view, history, process_run=run)
    streams.origins.tasks
"""

import time

from acaciaward.catalogue import endpoints, routehistory, storeview
from acaciaward.membership import interfaces
from acaciaward.platform import store, topics
from acaciaward.resumption import origins, servingversions, streamlog

VERSIONS_TOPIC = "keyed.acaciaward.versions"
STREAMS_TOPIC = "acaciaward.streams"


class EntryStreams:
    """The streams of one entry that callers may take up; ``origins`` knows theirs."""

    def __init__(
        self,
        platform_store: store.Store,
        membership: interfaces.Membership,
        directory: endpoints.Directory,
        store_view: storeview.StoreView,
        route_history: routehistory.RouteHistory,
        *,
        process_run: str,
    ):
        self._directory = directory
        self._store_view = store_view
        self._route_history = route_history
        self.origins = origins.StreamOrigins(membership)
        self.origins.use_store(
            origins.Stored(
                servingversions.ServingVersions(
                    topics.KeyedTopic(platform_store, VERSIONS_TOPIC),
                    membership,
                    listed=self._listed_versions,
                    running=self._running_versions,
                    shared=lambda: route_history.shared_services,
                    recorder=lambda: self.origins.recorder,
                    era=lambda: platform_store.era,
                    process_run=process_run,
                ),
                streamlog.StreamLog(topics.LogTopic(platform_store, STREAMS_TOPIC)),
            )
        )

    def _listed_versions(self) -> set[origins.Origin]:
        """Return the versions of the endpoints whose streams callers may take up."""
        services = self._store_view.resumable_services
        shared = {
            origins.Origin(service, servingversions.SHARED)
            for service in self._route_history.shared_services
        }
        return shared | {
            origins.Origin(endpoint.service, endpoint.version)
            for endpoint in self._directory.all()
            if endpoint.service in services
        }

    def _running_versions(self) -> set[origins.Origin] | None:
        """
        Return the versions that began the streams which callers may take up now.

        This is None if the endpoints haven't been known for as long as streams run.
        """
        index = self._store_view.index
        if index is None or not self._directory.is_continuous_at(time.monotonic()):
            return None
        found = set()
        for service in index.resumable_services:
            versions = self._directory.versions_within(service, index.longest_stream_s)
            if versions is None:
                return None
            found |= {origins.Origin(service, version) for version in versions}
        return found
