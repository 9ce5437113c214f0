//! Graceful shutdown after SIGTERM or SIGINT: completes all accepted requests, and keeps accepting connections until
//! shortly before the platform would kill the process.

use super::build::Parts;
use super::listeners::accept_queued;
use super::run::Server;
use super::signals::NoticedSignal;
use crate::lifecycle::Phase;
use crate::resources::descriptors::ConnectionKind;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

/// Minimum time for which new connections are still accepted. The platform does not send SIGKILL within this time.
const MIN_ACCEPTING: Duration = Duration::from_millis(700);
/// Maximum time, in seconds, that the platform waits after [`MIN_ACCEPTING`] for requests to complete.
const MAX_GRACE_S: f64 = 3.0;
/// Time before the end of the shutdown at which connections start to close. Not earlier, since clients that lose their
/// connection find no other head for their volumes.
const CLOSE_CONNECTIONS_BEFORE_END: Duration = Duration::from_millis(450);
/// Time before the end of the shutdown by which all requests must be answered, so that the last responses still reach
/// their clients.
const LAST_ANSWER_BEFORE_END: Duration = Duration::from_millis(100);
/// Pause after a failed `accept`, in which file descriptors may become free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// The points in time of one graceful shutdown.
struct DrainSchedule {
    /// New connections are accepted at least until this time, unless a newer process accepts them.
    accepting_until: Instant,
    /// Connections start to close at this time.
    close_connections_at: Instant,
    /// Deadline for the answers to all requests.
    last_answer_by: Instant,
    /// The shutdown ends at this time even if connections are still open.
    end: Instant,
}

impl DrainSchedule {
    /// Schedules a shutdown that starts now. `longest_deadline_s` is the longest request deadline, in seconds.
    fn starting_now(longest_deadline_s: f64) -> DrainSchedule {
        let accepting_until = Instant::now() + MIN_ACCEPTING;
        let end = accepting_until + crate::core::seconds(longest_deadline_s.min(MAX_GRACE_S));
        DrainSchedule {
            accepting_until,
            close_connections_at: accepting_until.max(end - CLOSE_CONNECTIONS_BEFORE_END),
            last_answer_by: end - LAST_ANSWER_BEFORE_END,
            end,
        }
    }

    /// Logs the schedule as it follows from the signal.
    fn log(&self, signal: NoticedSignal) {
        let now = Instant::now();
        log::info!(
            "daemon: shutdown scheduled, noticed={:?} ago, sent_within={:?}, connections close in {:?}, last answers in {:?}, \
             end in {:?}",
            now.saturating_duration_since(signal.noticed_at),
            now.saturating_duration_since(signal.earliest_sent_at),
            self.close_connections_at.saturating_duration_since(now),
            self.last_answer_by.saturating_duration_since(now),
            self.end.saturating_duration_since(now)
        );
    }
}

/// Shuts the process down: accepts connections until they have to close, completes the accepted requests, and closes the
/// listening sockets. Returns when all client connections are closed, or at the end of the schedule.
pub(super) async fn drain(parts: &Parts, server: Server, signal: NoticedSignal, longest_deadline_s: f64) {
    parts.lifecycle.enter(Phase::Draining);
    let schedule = DrainSchedule::starting_now(longest_deadline_s);
    schedule.log(signal);
    parts.dispatcher.set_shutdown_deadline(schedule.last_answer_by);
    serve_until_connections_close(parts, &server, &schedule).await;
    parts.lifecycle.close_idle_connections();
    accept_queued_connections(parts, &server, schedule.end).await;
    drop(server);
    parts.handover.close_sockets();
    if timeout_at(schedule.end, parts.lifecycle.connections_closed()).await.is_err() {
        log::warn!(
            "daemon: connections still open at the end, connections={} requests={}",
            parts.lifecycle.open_connections(),
            parts.counters.in_flight()
        );
    }
    parts.lifecycle.enter(Phase::Stopped);
}

/// Accepts connections until the scheduled time to close them, until no connection is open, or until a newer process
/// accepts connections in place of this one.
async fn serve_until_connections_close(parts: &Parts, server: &Server, schedule: &DrainSchedule) {
    let all_closed = async {
        sleep_until(schedule.accepting_until).await;
        parts.lifecycle.connections_closed().await;
    };
    tokio::select! {
        never = server.listen() => match never {},
        () = sleep_until(schedule.close_connections_at) => {}
        () = all_closed => {}
        // New connections reach the newer process through the shared accept queue.
        () = parts.handover.wait_for_newer_in_service() => {}
    }
}

/// Accepts the connections in the kernel's accept queue, which closing the listening socket would reset. Does nothing if
/// a newer process accepts them.
async fn accept_queued_connections(parts: &Parts, server: &Server, end: Instant) {
    while !parts.handover.newer_in_service() {
        // Waits for a slot: idle connections are closing, so one becomes free, and queued connections stay open meanwhile.
        let Ok(slot) = timeout_at(end, parts.descriptors.client_slot(ConnectionKind::Http)).await else {
            break;
        };
        match accept_queued(&server.listener) {
            Ok(Some(stream)) => server.frontend.admit(stream, slot),
            Ok(None) => break,
            Err(error) if Instant::now() < end => {
                log::warn!("http: accept: {error}");
                drop(slot);
                parts.descriptors.close_idle_connection();
                sleep(ACCEPT_PAUSE).await;
            }
            Err(error) => {
                log::error!("http: accept: {error}; queued connections are reset");
                break;
            }
        }
    }
}
