//! Lists and watches the endpoints at one address.

use super::call::{self, AbortOnDrop, CallMessage, CallReporter, NumberedMessage};
use super::call_set::CallSet;
use super::connect::Connect;
use super::response_reader::{ResponseReader, SkippableVersion};
use super::{CallError, ReceiveTimes, SourceRequest, WatchEvent};
use crate::discovery::schedule::{CallEnd, PollSchedule, Poller};
use flaxgap_membership::compact::CompactList;
use flaxgap_membership::decoder::{Fingerprint, ListDecoder};
use std::future;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

/// Capacity of the channel for messages from calls. Calls stop reading while the channel is full.
const MESSAGE_CAPACITY: usize = 8;

/// Whether the watcher or its owner makes another call after one has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Retries {
    ByWatcher,
    ByOwner,
}

/// Identifies the list that the source delivered last.
#[derive(Clone, Copy)]
struct KnownList {
    fingerprint: Fingerprint,
    version: u64,
    is_snapshot: bool,
}

/// When the last message from the source was received, and which problems were reported since.
struct Liveness {
    last_message: Instant,
    is_silent: bool,
    /// Whether a failed call has been logged as a warning since the last message.
    failure_logged: bool,
}

impl Liveness {
    fn new() -> Liveness {
        Liveness { last_message: Instant::now(), is_silent: false, failure_logged: false }
    }

    /// When the source becomes silent; `None` if it is already silent.
    fn silent_at(&self, timeout: Duration) -> Option<Instant> {
        (!self.is_silent).then(|| self.last_message + timeout)
    }

    fn on_message(&mut self, address: SocketAddr) {
        if self.is_silent {
            log::info!("discovery: {address} is back after {:?}", self.last_message.elapsed());
        }
        *self = Liveness::new();
    }

    /// Logs a failed call: as a warning for the first one since the last message, otherwise at debug level.
    fn on_failure(&mut self, address: SocketAddr, was_watch: bool, error: &CallError) {
        let level = if self.failure_logged { log::Level::Debug } else { log::Level::Warn };
        let ended = if was_watch { "watch" } else { "call" };
        log::log!(level, "discovery: {address}: {ended} ended: {error}");
        self.failure_logged = true;
    }
}

/// Lists and watches the endpoints at one address. See the [module documentation](super).
pub struct Watcher<'a, C> {
    connector: C,
    address: SocketAddr,
    poller: Poller<'a>,
    retries: Retries,
    /// When the next call starts; `None` while that depends on how an open call ends.
    next_call_at: Option<Instant>,
    pub(super) calls: CallSet,
    sender: mpsc::Sender<NumberedMessage>,
    messages: mpsc::Receiver<NumberedMessage>,
    known: Option<KnownList>,
    pub(super) skippable: SkippableVersion,
    liveness: Liveness,
}

impl<'a, C: Connect> Watcher<'a, C> {
    /// Creates a watcher that makes its first call at once.
    pub fn new(connector: C, address: SocketAddr, schedule: &'a PollSchedule) -> Watcher<'a, C> {
        let (sender, messages) = mpsc::channel(MESSAGE_CAPACITY);
        Watcher {
            connector,
            address,
            poller: schedule.poller(),
            retries: Retries::ByWatcher,
            next_call_at: Some(Instant::now()),
            calls: CallSet::default(),
            sender,
            messages,
            known: None,
            skippable: SkippableVersion::default(),
            liveness: Liveness::new(),
        }
    }

    /// Creates a watcher that makes its first call at once, and makes no further call after one has ended unless its
    /// owner schedules one.
    pub fn without_retries(connector: C, address: SocketAddr, schedule: &'a PollSchedule) -> Watcher<'a, C> {
        Watcher { retries: Retries::ByOwner, ..Watcher::new(connector, address, schedule) }
    }

    /// Schedules a call soon, even if a watch is open.
    pub fn schedule_call_soon(&mut self) {
        let at = Instant::now() + self.poller.early_call_delay();
        self.next_call_at = Some(self.next_call_at.map_or(at, |scheduled| scheduled.min(at)));
    }

    /// If no call is open, schedules the next one with the first delay of the backoff, for an owner that can't wait
    /// for the long delay after many failures.
    pub fn restart_backoff(&mut self) {
        if self.calls.is_empty() {
            self.schedule_after(CallEnd::Broken);
        }
    }

    /// Forgets the known list, so that the same list is read in full and returned again. To be called while the
    /// content of the known version is uncertain.
    pub fn forget_known_list(&mut self) {
        self.known = None;
        self.skippable.set(None);
    }

    /// Waits for the next event, and makes the calls that become due meanwhile. `next_request` returns the request of
    /// the call that is about to start. Cancel-safe: no event is lost if the future is dropped.
    pub async fn next_event(&mut self, mut next_request: impl FnMut() -> SourceRequest) -> WatchEvent {
        loop {
            let silent_at = self.liveness.silent_at(self.poller.idle_timeout());
            tokio::select! {
                biased;
                // `self` owns a sender, so the channel never closes.
                Some(NumberedMessage { number, message }) = self.messages.recv() => {
                    if let Some(event) = self.on_message(number, message) {
                        return event;
                    }
                }
                () = sleep_until_some(self.next_call_at) => self.on_call_due(next_request()),
                () = sleep_until_some(silent_at) => return self.on_silence(),
            }
        }
    }

    fn on_silence(&mut self) -> WatchEvent {
        self.liveness.is_silent = true;
        self.skippable.set(None);
        WatchEvent::SourceSilent(self.liveness.last_message.elapsed())
    }

    fn on_call_due(&mut self, request: SourceRequest) {
        self.next_call_at = None;
        let is_watch = request != SourceRequest::List;
        if is_watch && self.calls.has_current_watch() && !self.poller.renews_watches() {
            return;
        }
        let known = self.known.map(|known| known.fingerprint);
        let decoder = ListDecoder::new(known);
        let reader = ResponseReader::new(request, self.poller.timeouts(), decoder, self.skippable.clone());
        let connector = self.connector.clone();
        let address = self.address;
        let sender = self.sender.clone();
        self.calls.start(request, |number| {
            AbortOnDrop::spawn(call::run(connector, address, reader, CallReporter { number, sender }))
        });
        self.next_call_at = self.poller.on_call_started().map(|delay| Instant::now() + delay);
    }

    pub(super) fn on_message(&mut self, number: u64, message: CallMessage) -> Option<WatchEvent> {
        match message {
            CallMessage::Heartbeat => {
                self.on_delivered(number);
                Some(WatchEvent::Heartbeat)
            }
            CallMessage::KnownList => Some(self.on_known_list(number)),
            CallMessage::List(list, fingerprint, received) => {
                Some(self.on_list(number, list, fingerprint, received))
            }
            CallMessage::SkippedSnapshot(version) => self.on_skipped_snapshot(number, version),
            CallMessage::Unreadable(error) => {
                self.skippable.set(None);
                Some(WatchEvent::Unreadable(error))
            }
            CallMessage::Ended { opened, error } => self.on_call_ended(number, opened, error),
        }
    }

    /// Records a message from a call. Returns the request of the call; `None` if it has been cancelled.
    fn on_delivered(&mut self, number: u64) -> Option<SourceRequest> {
        self.liveness.on_message(self.address);
        self.calls.on_delivered(number)
    }

    /// Handles a list. A call may have read the list before it was cancelled because a later call delivered a message
    /// first. Such a list is ignored unless it is newer than the known one.
    fn on_list(
        &mut self,
        number: u64,
        list: CompactList,
        fingerprint: Fingerprint,
        received: ReceiveTimes,
    ) -> WatchEvent {
        // Overlapping calls may deliver the same list.
        if self.known.is_some_and(|known| known.fingerprint == fingerprint) {
            return self.on_known_list(number);
        }
        let request = match self.on_delivered(number) {
            Some(request) => request,
            None if self.known.is_some_and(|known| list.version <= known.version) => {
                log::debug!("discovery: list of a cancelled call is not newer, version={}", list.version);
                return WatchEvent::Heartbeat;
            }
            None => request_for(&list),
        };
        self.known = Some(KnownList { fingerprint, version: list.version, is_snapshot: list.is_snapshot });
        self.update_skippable(number);
        WatchEvent::List { list, request, received }
    }

    /// Handles the known list, received again in full.
    fn on_known_list(&mut self, number: u64) -> WatchEvent {
        self.on_delivered(number);
        self.update_skippable(number);
        WatchEvent::Heartbeat
    }

    /// Handles a new watch that was closed since it began with a snapshot of the known version.
    fn on_skipped_snapshot(&mut self, number: u64, version: u64) -> Option<WatchEvent> {
        if self.skippable.get() != Some(version) {
            // The content of this version has become uncertain since. The next list is read in full.
            return None;
        }
        self.liveness.on_message(self.address);
        self.calls.cancel_watches_up_to(number);
        Some(WatchEvent::Heartbeat)
    }

    /// Allows snapshots of the known version to be skipped if the current watch has delivered that list in full. If
    /// watches are not renewed, there is only one watch at a time, and its snapshots must be read.
    fn update_skippable(&mut self, number: u64) {
        let may_skip = self.calls.is_current_watch(number) && self.poller.renews_watches();
        let snapshot = self.known.filter(|known| known.is_snapshot && may_skip);
        self.skippable.set(snapshot.map(|known| known.version));
    }

    fn on_call_ended(&mut self, number: u64, opened: bool, error: Option<CallError>) -> Option<WatchEvent> {
        let was_watch = self.calls.on_ended(number);
        if was_watch || error.is_some() {
            self.skippable.set(None);
        }
        if self.retries == Retries::ByOwner {
            return Some(WatchEvent::CallEnded { opened, error });
        }
        if let Some(error) = &error {
            self.liveness.on_failure(self.address, was_watch, error);
        }
        self.schedule_after(call_end(opened, error.as_ref()));
        was_watch.then_some(WatchEvent::WatchLost)
    }

    /// Schedules the next call after one has ended, if its time depends on how that call ended.
    fn schedule_after(&mut self, end: CallEnd) {
        if let Some(delay) = self.poller.on_call_ended(end) {
            self.next_call_at = Some(Instant::now() + delay);
        }
    }
}

/// Derives the request of a cancelled call from the list that it delivered.
fn request_for(list: &CompactList) -> SourceRequest {
    if list.is_snapshot { SourceRequest::List } else { SourceRequest::WatchSince(0) }
}

/// Classifies the end of a call for the schedule of the next one.
fn call_end(opened: bool, error: Option<&CallError>) -> CallEnd {
    match error {
        None => CallEnd::Completed,
        Some(_) if !opened => CallEnd::NeverOpened,
        Some(CallError::Silent(_)) => CallEnd::Stalled,
        Some(_) => CallEnd::Broken,
    }
}

/// Sleeps until `at`, or forever if it is `None`.
async fn sleep_until_some(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => future::pending().await,
    }
}
