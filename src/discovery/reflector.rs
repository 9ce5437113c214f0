//! Follows sources of the endpoint list and applies their lists to the [`EndpointDirectory`].

use crate::discovery::client::{CallError, CountedTcp, ReceiveTimes, SourceRequest, WatchEvent, Watcher};
use crate::discovery::directory::EndpointDirectory;
use crate::discovery::relist::PendingRelist;
use crate::metrics::counters::Counters;
use crate::scheduler::UpdateKind;
use flaxgap_distribution::update_filter::UpdateFilter;
use flaxgap_membership::compact::CompactList;
use std::future;
use std::net::SocketAddr;
use tokio::sync::watch;
use tokio::time::sleep;

/// Lists and watches one source, and applies its lists to the directory.
pub(super) struct EndpointReflector<'a> {
    directory: &'a EndpointDirectory,
    watcher: Watcher<'a, CountedTcp<Counters>>,
    address: SocketAddr,
    /// A new watch requests the changes after this version.
    watch_since: u64,
    /// Tracks the source's version, and filters its lists against those of another source that is followed at the same
    /// time.
    filter: UpdateFilter,
    relist: PendingRelist,
    /// Whether the last list from the source was behind the known version.
    was_behind: bool,
}

impl<'a> EndpointReflector<'a> {
    /// Creates a reflector that watches for the changes after version `watch_since`.
    pub(super) fn new(
        directory: &'a EndpointDirectory,
        watcher: Watcher<'a, CountedTcp<Counters>>,
        address: SocketAddr,
        watch_since: u64,
    ) -> EndpointReflector<'a> {
        EndpointReflector {
            directory,
            watcher,
            address,
            watch_since,
            filter: UpdateFilter::new(watch_since),
            relist: PendingRelist::none(),
            was_behind: false,
        }
    }

    /// Creates a reflector that requests the complete list first.
    fn listing(
        directory: &'a EndpointDirectory,
        watcher: Watcher<'a, CountedTcp<Counters>>,
        address: SocketAddr,
    ) -> EndpointReflector<'a> {
        let reflector = EndpointReflector::new(directory, watcher, address, 0);
        EndpointReflector { relist: PendingRelist::until_listed(), ..reflector }
    }

    /// Replaces the watch on the same source by one for the changes after version `watch_since`. Retains whether the
    /// source is behind.
    pub(super) fn restart_watch(&mut self, watcher: Watcher<'a, CountedTcp<Counters>>, watch_since: u64) {
        self.watcher = watcher;
        self.watch_since = watch_since;
        self.filter.restart(watch_since);
    }

    /// The filter of the source's lists against those of another source that is followed at the same time.
    pub(super) fn filter(&mut self) -> &mut UpdateFilter {
        &mut self.filter
    }

    /// Follows the source until the future is dropped.
    async fn run(mut self) {
        loop {
            let event = self.next_event().await;
            self.apply(event);
        }
    }

    /// Follows the source until its complete list has been applied and it is not behind the known version.
    async fn run_until_caught_up(mut self) {
        loop {
            let event = self.next_event().await;
            let is_list = matches!(event, WatchEvent::List { .. });
            self.apply(event);
            if is_list && !self.relist.is_pending() && !self.filter.source().is_behind() {
                return;
            }
        }
    }

    /// Waits for the next event of the source. Calls that become due meanwhile request the complete list if a relist is
    /// pending or the version count of the source has restarted.
    pub(super) async fn next_event(&mut self) -> WatchEvent {
        let needs_relist = self.needs_relist();
        let watch_since = self.watch_since;
        let relist = &self.relist;
        let next_request = || {
            if needs_relist || relist.take_attempt() {
                SourceRequest::List
            } else {
                SourceRequest::WatchSince(watch_since)
            }
        };
        let event = self.watcher.next_event(next_request).await;
        if matches!(event, WatchEvent::List { .. } | WatchEvent::Heartbeat) {
            self.directory.record_message();
        }
        event
    }

    /// Applies an event to the directory, and schedules a call for the complete list if it is needed.
    pub(super) fn apply(&mut self, event: WatchEvent) {
        match event {
            WatchEvent::List { list, request, received } => self.apply_list(list, request, received),
            WatchEvent::Heartbeat => {}
            WatchEvent::Unreadable(error) => self.on_unreadable(&error),
            WatchEvent::WatchLost | WatchEvent::CallEnded { opened: true, error: Some(_) } => {
                self.directory.counters().watches_lost.add();
            }
            WatchEvent::CallEnded { .. } => {}
            WatchEvent::SourceSilent(silence) => {
                let version = self.directory.version();
                let age = self.directory.list_age();
                log::warn!(
                    "discovery: {} silent for {silence:?}; the list is at version {version}, last changed {age:?} ago",
                    self.address
                );
            }
        }
        if self.filter.source().is_behind() {
            self.watcher.forget_known_list();
        }
        if self.needs_relist() {
            self.watcher.schedule_call_soon();
        }
    }

    /// Whether the source has been behind for so long that its version count must have restarted.
    fn needs_relist(&self) -> bool {
        self.filter.needs_relist(self.directory.clock().now())
    }

    fn on_unreadable(&mut self, error: &CallError) {
        log::warn!("discovery: unreadable update skipped, error={error}");
        self.directory.counters().bad_input.add();
        self.relist.request();
        self.watcher.schedule_call_soon();
    }

    fn apply_list(&mut self, list: CompactList, request: SourceRequest, received: ReceiveTimes) {
        if request == SourceRequest::List {
            self.relist.complete();
        }
        let source = self.filter.source();
        if !list.is_empty() || list.version != source.version() {
            log_list(&list, request);
        }
        let version = list.version;
        self.directory.apply(list, source, UpdateKind::Changes);
        log::debug!(
            "discovery: list applied, source={} version={version} first_byte={:?} ago, last_byte={:?} ago",
            self.address,
            received.first_byte.elapsed(),
            received.last_byte.elapsed()
        );
        self.watch_since = source.version();
        let is_behind = source.is_behind();
        if is_behind && !self.was_behind {
            let known_version = self.directory.version();
            log::warn!(
                "discovery: {} is at version {}, behind {known_version}",
                self.address,
                self.watch_since
            );
        }
        self.was_behind = is_behind;
    }
}

fn log_list(list: &CompactList, request: SourceRequest) {
    let kind = match (request, list.is_snapshot) {
        (SourceRequest::List, _) => "relist",
        (SourceRequest::WatchSince(_), true) => "snapshot",
        (SourceRequest::WatchSince(_), false) => "update",
    };
    log::info!("discovery: version {}, {} entries, kind={kind}", list.version, list.len());
}

/// Follows discovery at the configured address until the future is dropped, and moves to another address when the
/// configuration changes.
///
/// If `has_list`, watches for the changes after the version of the known list; otherwise requests the complete list
/// first.
pub(super) async fn follow_discovery(
    directory: &EndpointDirectory,
    mut configured_address: watch::Receiver<SocketAddr>,
    has_list: bool,
) {
    let mut has_list = has_list;
    if has_list {
        sleep(directory.schedule().initial_delay()).await;
    }
    loop {
        let address = *configured_address.borrow_and_update();
        let watcher = new_watcher(directory, address);
        let reflector = if has_list {
            EndpointReflector::new(directory, watcher, address, directory.version())
        } else {
            EndpointReflector::listing(directory, watcher, address)
        };
        tokio::select! {
            biased;
            () = move_to_new_address(directory, &mut configured_address) => {}
            () = reflector.run() => {}
        }
        has_list = true;
    }
}

/// Waits until another address is configured and the complete list from that address has been applied. Until then the
/// known nodes stay in use, and the caller keeps following the old source.
///
/// The new source may be behind the old one. Drains and removals that it reports are applied at once. The move is
/// complete once the new source has caught up, or has been behind for so long that its version count must have
/// restarted.
async fn move_to_new_address(
    directory: &EndpointDirectory,
    configured_address: &mut watch::Receiver<SocketAddr>,
) {
    if configured_address.changed().await.is_err() {
        // The sender was dropped, so the address can't change any more.
        return future::pending().await;
    }
    loop {
        let address = *configured_address.borrow_and_update();
        let reflector = EndpointReflector::listing(directory, new_watcher(directory, address), address);
        tokio::select! {
            biased;
            _ = configured_address.changed() => {}
            () = reflector.run_until_caught_up() => {
                return log::info!("discovery: now at {address}, version {}", directory.version());
            }
        }
    }
}

fn new_watcher(directory: &EndpointDirectory, address: SocketAddr) -> Watcher<'_, CountedTcp<Counters>> {
    Watcher::new(directory.connector(), address, directory.schedule())
}
