//! The graceful shutdown after SIGTERM or SIGINT: what was taken is answered, and connections that clients open
//! meanwhile are served, until the platform would end the process.

use super::build::Parts;
use super::listeners::accept_queued;
use super::run::Server;
use crate::lifecycle::Phase;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

/// How long new connections are accepted at least: the platform sends no SIGKILL before it is over.
const MIN_ACCEPTING: Duration = Duration::from_millis(700);
/// The longest request deadline, in seconds, that the platform waits out past [`MIN_ACCEPTING`].
const MAX_GRACE_S: f64 = 3.0;
/// How long before the end connections begin to close. Until then clients go on using the connections they
/// have, and find no other head for their volumes.
const CLOSE_CONNECTIONS_BEFORE_END: Duration = Duration::from_millis(450);
/// How long before the end all requests must be answered, so that the last answers reach their clients.
const LAST_ANSWER_BEFORE_END: Duration = Duration::from_millis(100);
/// Pause after the system failed to accept a connection, in which a descriptor may be freed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// The moments of one graceful shutdown.
struct DrainSchedule {
    /// Until then new connections are accepted in any case.
    accepting_until: Instant,
    /// From then on connections close.
    close_connections_at: Instant,
    /// By then all requests are answered.
    last_answer_by: Instant,
    /// By then the program ends.
    end: Instant,
}

impl DrainSchedule {
    /// The schedule of a shutdown that starts now, for requests with deadlines up to `longest_deadline_s`.
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
}

/// Serves to the end: accepts until connections have to close, answers what was taken, closes the listeners.
pub(super) async fn drain(parts: &Parts, server: Server, longest_deadline_s: f64) {
    parts.lifecycle.enter(Phase::Draining);
    let schedule = DrainSchedule::starting_now(longest_deadline_s);
    parts.dispatcher.set_shutdown_deadline(schedule.last_answer_by);
    serve_until_connections_close(parts, &server, &schedule).await;
    parts.lifecycle.close_idle_connections();
    accept_what_is_queued(parts, &server, schedule.end).await;
    drop(server);
    parts.handover.close_sockets();
    if timeout_at(schedule.end, parts.lifecycle.connections_closed()).await.is_err() {
        log::warn!("daemon: connections still open at the end");
    }
    parts.lifecycle.enter(Phase::Stopped);
}

/// Accepts connections until they have to close, all have closed, or a newer process accepts them.
async fn serve_until_connections_close(parts: &Parts, server: &Server, schedule: &DrainSchedule) {
    let all_closed = async {
        sleep_until(schedule.accepting_until).await;
        parts.lifecycle.connections_closed().await;
    };
    tokio::select! {
        // Never: `listen` does not return.
        () = server.listen() => {}
        () = sleep_until(schedule.close_connections_at) => {}
        () = all_closed => {}
        // Clients find the newer process at once.
        () = parts.handover.wait_for_newer_in_service() => {}
    }
}

/// Accepts what the system has queued, since that counts as taken; a newer process, if there is one, does it in
/// this one's place.
async fn accept_what_is_queued(parts: &Parts, server: &Server, end: Instant) {
    while !parts.handover.newer_in_service() {
        // Idle connections are closing, so a slot will be free; what is queued until then is not reset.
        let Ok(slot) = timeout_at(end, parts.descriptors.client_slot()).await else { break };
        match accept_queued(&server.listener) {
            Ok(Some(stream)) => server.frontend.admit(stream, slot),
            Ok(None) => break,
            Err(problem) if Instant::now() < end => {
                log::warn!("http: accept: {problem}");
                drop(slot);
                parts.descriptors.close_idle_connection();
                sleep(ACCEPT_PAUSE).await;
            }
            Err(problem) => {
                log::error!("http: accept: {problem}; what waits is reset");
                break;
            }
        }
    }
}
